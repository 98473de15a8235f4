Feature: Upstreams that start again under the id they had

  Rule: Nothing is kept of the start before

    Background:
      Given a store with a configuration

    Scenario: An engine that starts again is asked for the weights it has
      # Symptom: a router refuses all prompts after its engines crashed.
      # Sequence: engines load version 2, crash, and start again under their
      #   ids with version 1; the router goes on asking them for version 2,
      #   which they refuse.
      # Cause: versions known of an id only grew, over its starts too.
      Given engines "eng-1" and "eng-2"
      And a direct router
      When new weights are named
      Then all engines have them, by orders of one holder
      When the engines take no more orders and start again with older weights
      Then soon prompts are answered with the older weights

    Scenario: An upstream that was leaving serves again after a new start
      # Symptom: an upstream that was restarted gets no requests any more.
      # Sequence: it says that it is leaving, ends, and starts again under
      #   its id.
      # Cause: leaving was final for the id and not for the start.
      Given plain upstreams "reg-1" and "reg-2"
      And a direct router
      When upstream "reg-1" says that it is leaving
      Then soon only "reg-2" receives requests
      When upstream "reg-1" starts again
      Then soon it receives requests again

    Scenario: What an earlier start says late changes nothing
      # Symptom: an upstream that serves gets no requests.
      # Sequence: it starts again; then the last word of the start before,
      #   that it is leaving, gets through.
      # Cause: the entry written last counted, whichever start it was of.
      Given plain upstreams "reg-1" and "reg-2"
      And a direct router
      When upstream "reg-1" starts again
      And the start before says that it is leaving
      Then it goes on receiving requests

    Scenario: Weights of an earlier start are not those of the later one
      # Symptom: an engine is ordered no weights and refuses all prompts.
      # Sequence: it starts again with older weights; an entry of the start
      #   before is told late, or once more after a failed call.
      # Cause: the versions in it were noted for the start that is known.
      Given engines "eng-1" and "eng-2"
      And a direct router
      When "eng-1" starts again and the start before says that it has version 7
      Then "eng-1" is known with version 1

    Scenario: A connection to the start before carries nothing
      # Symptom: a request that must not repeat is lost.
      # Sequence: an engine starts again elsewhere under its id; its old
      #   connection is kept, silent behind a cut, and takes the request.
      # Cause: connections were kept by the id alone.
      Given plain upstreams "reg-1" and "reg-2"
      And a direct router
      When a caller fetches a record
      And a caller fetches a record
      And the upstreams start again at other addresses
      And a caller orders a certificate
      Then the answer is 200 with the whole body and its proof

    Scenario Outline: A request under way at the start that ended
      Given plain upstreams "reg-1" and "reg-2"
      And a direct router
      And all upstreams hold their answers
      When an upstream starts again while it runs a request for <path>
      Then the request gets <status> after <runs> runs

      Examples:
        | path            | status | runs |
        | /certificates/1 | 502    | 1    |
        | /records/1      | 200    | 2    |

  Rule: Each start is known by itself

    Background:
      Given a router that knows an engine with weights of version 3

    Scenario: Nothing learnt of the start before is left
      When it was sent requests, was late, failed and told its load
      And it starts again with weights of version 2
      Then nothing is known of it but its new entry
      And what the start before told later changes nothing
      And requests still open at the start before end without being counted

    Scenario: A run does not go on from a copy that is gone
      # Symptom: a run is continued by an engine that knows nothing of it.
      # Sequence: an engine keeps a copy of a run and starts again under its
      #   id; the run's own engine crashes.
      # Cause: the copy's engine was known by its id alone.
      When it keeps the copy of a run and starts again
      Then the run can't go on there

    Scenario: An engine that starts again is ordered at once
      # Symptom: an engine has old weights for longer than it need.
      # Sequence: it is ordered to load, crashes, and starts again within a
      #   second.
      # Cause: the order to the start before passed for one under way.
      When version 4 is named and ordered
      And it starts again with weights of version 3
      Then it is due to be ordered at once

    Scenario Outline: A report of another start gives no order
      # Symptom: an engine goes back to older weights.
      # Sequence: an engine starts again; its report is of the start before,
      #   or the entry that is known is; the order names that count.
      # Cause: the count of orders taken begins anew at each start.
      When version 4 is named and the engine's report is of <start>
      Then no order is given and <known>

      Examples:
        | start           | known                            |
        | an earlier one  | its weights are those of version 3 |
        | a later one     | its weights are those of version 1 |

    Scenario: An order to a start that ended meanwhile is not given
      When version 4 is named and the engine starts again before its report
      Then no order is given and its weights are those of version 2

    Scenario Outline: Entries that come late, and others
      When <what> comes
      Then the engine <is>

      Examples:
        | what                                              | is            |
        | an entry of an earlier start                      | is as it was  |
        | an entry of an earlier start after it had gone    | is not known  |
        | an entry that tells no start                      | is not known  |
        | an entry of this start after it had gone leaving  | is leaving    |
        | an entry with other weights than the one before   | is due for 3  |
        | an entry of another service                       | is of that    |

    Scenario: An engine at whose address another one answers
      # Symptom: requests go on to an address where their upstream is not.
      # Sequence: an upstream ends; another one has its address before its
      #   entry is gone, refuses, and tells its own weights and load.
      # Cause: whoever answered was taken for the upstream that was asked.
      When another upstream answers at its address
      Then it is left alone for a while and nothing is learnt of it
