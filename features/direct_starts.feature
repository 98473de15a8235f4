Feature: Upstreams that restart under the same id

  Rule: No state of the previous incarnation is kept

    Background:
      Given a store with a configuration

    Scenario: A restarted engine is asked for the weights that it has
      # Guards against a router that refuses all prompts after its engines
      # crashed. They load version 2, crash and restart under their ids with
      # version 1. The known version of an id only increased, also across
      # incarnations, so the router kept asking for version 2, which the
      # engines refuse.
      Given engines "eng-1" and "eng-2"
      And a direct router
      When new weights are named
      Then all engines have them, by orders of one holder
      When the engines ignore further orders and restart with older weights
      Then soon prompts are answered with the older weights

    Scenario: An upstream that was leaving serves again after a restart
      # Guards against a restarted upstream that receives no requests. It
      # reports that it is leaving, terminates and restarts under its id.
      # Leaving was final for the id instead of for the incarnation.
      Given plain upstreams "reg-1" and "reg-2"
      And a direct router
      When upstream "reg-1" says that it is leaving
      Then soon only "reg-2" receives requests
      When upstream "reg-1" restarts
      Then soon it receives requests again

    Scenario: A late entry of an earlier incarnation changes nothing
      # Guards against an upstream that serves but receives no requests. It
      # restarts, and then the last entry of the previous incarnation arrives,
      # which reports that it is leaving. The entry written last counted,
      # whichever incarnation it was of.
      Given plain upstreams "reg-1" and "reg-2"
      And a direct router
      When upstream "reg-1" restarts
      And the previous incarnation reports that it is leaving
      Then it continues to receive requests

    Scenario: Weights of an earlier incarnation do not apply to a later one
      # Guards against an engine that gets no load order and refuses all
      # prompts. It restarts with an earlier version; an entry of the previous
      # incarnation arrives late, or again after a failed call, and its
      # versions were recorded for the current incarnation.
      Given engines "eng-1" and "eng-2"
      And a direct router
      When "eng-1" restarts and its previous incarnation reports version 7
      Then "eng-1" is known with version 1

    Scenario: A connection to the previous incarnation is not reused
      # Guards against losing a request that must not be retried. An upstream
      # restarts under its id at another address. Connections were pooled by
      # id alone, so the request was sent on an old one, which a network
      # partition keeps open and silent.
      Given plain upstreams "reg-1" and "reg-2"
      And a direct router
      When a caller fetches a record
      And a caller fetches a record
      And the upstreams restart at other addresses
      And a caller orders a certificate
      Then the answer is 200 with the whole body and its proof

    Scenario Outline: A request is in progress when its upstream restarts
      Given plain upstreams "reg-1" and "reg-2"
      And a direct router
      And all upstreams hold their answers
      When an upstream restarts while it runs a request for <path>
      Then the request gets <status> after <runs> runs

      Examples:
        | path            | status | runs |
        | /certificates/1 | 502    | 1    |
        | /records/1      | 200    | 2    |

  Rule: The state of each incarnation is separate

    Background:
      Given a router that knows an engine with weights of version 3

    Scenario: Nothing recorded of the previous incarnation is left
      When it received requests, was late, failed and reported its load
      And it restarts with weights of version 2
      Then only its new entry is known
      And late reports of the previous incarnation change nothing
      And requests that end at the previous incarnation are not counted

    Scenario: A run does not continue from a copy that was lost
      # Guards against continuing a run at an engine that has no copy of it.
      # An engine keeps a copy and restarts under its id, and then the engine
      # of the run crashes. The copy upstream was identified by its id alone.
      When it keeps a copy of a run and restarts
      Then the run cannot continue there

    Scenario: A restarted engine is ordered to load at once
      # Guards against an engine that keeps superseded weights for longer than
      # necessary. It is ordered to load, crashes and restarts within a
      # second; the order to the previous incarnation was taken for one that
      # is still in progress.
      When version 4 is released and ordered
      And it restarts with weights of version 3
      Then an order to it is due at once

    Scenario Outline: A report of another incarnation causes no order
      # Guards against an engine that returns to earlier weights. An engine
      # restarts, and either its report or its known entry is of the previous
      # incarnation. An order contains the count of accepted orders from the
      # report, and that count restarts with each incarnation.
      When version 4 is released and the engine's report is of <incarnation>
      Then no order is given and <known>

      Examples:
        | incarnation    | known                              |
        | an earlier one | its weights are those of version 3 |
        | a later one    | its weights are those of version 1 |

    Scenario: No order is sent to an incarnation that has terminated
      When version 4 is released and the engine restarts before its report
      Then no order is given and its weights are those of version 2

    Scenario Outline: Late and other entries
      When <what> comes
      Then the engine <is>

      Examples:
        | what                                         | is                 |
        | an earlier incarnation's entry               | is unchanged       |
        | an earlier incarnation's entry after removal | is unknown         |
        | an entry without a start time                | is unknown         |
        | an entry of this incarnation after leaving   | is leaving         |
        | an entry with other weights                  | is due for 3       |
        | an entry of another service                  | is of that service |

    Scenario: Another upstream answers at the address of an engine
      # Guards against sending requests to an address that their upstream no
      # longer has. An upstream terminates, and another one gets its address
      # before its entry is removed, refuses requests and reports its own
      # weights and load. These were recorded for the first upstream.
      When another upstream answers at its address
      Then it is excluded for a while and its state is unchanged
