Feature: Entries from other writers

  Rule: An entry from another writer names no upstream to use

    Background:
      Given a store with a configuration
      And plain upstreams "reg-1" and "reg-2"
      And a direct router

    Scenario: Entries with fields missing or of another type
      # Symptom: requests go to an address where no upstream is, and fail.
      # Sequence: somebody writes an entry that lacks a field, or has one of
      #   another type; what it lacks is filled in.
      # Cause: only the entry's service and address were asked for.
      When entries are written of which each lacks one of these
        | field           |
        | Service         |
        | Address         |
        | Zone            |
        | Version         |
        | Slots           |
        | State           |
        | ColdRemainingMs |
        | Sequence        |
      And entries are written that differ in one field each
        | field           | value                             |
        | Service         | 5                                 |
        | Service         | ""                                |
        | Address         | 5                                 |
        | Address         | "here"                            |
        | Address         | "127.0.0.1"                       |
        | Address         | "127.0.0.1:0"                     |
        | Address         | "127.0.0.1:x"                     |
        | Address         | "127.0.0.1:99999"                 |
        | Address         | "127.0.0.1:80\r\nX: y"            |
        | Address         | "host.example:80"                 |
        | Zone            | null                              |
        | Version         | 3                                 |
        | Slots           | "4"                               |
        | Slots           | 0                                 |
        | Slots           | true                              |
        | Slots           | 4.5                               |
        | State           | "paused"                          |
        | State           | "Ready"                           |
        | State           | ["ready"]                         |
        | ColdRemainingMs | "none"                            |
        | Sequence        | "1"                               |
        | Sequence        | true                              |
        | Stage           | 5                                 |
        | Models          | 5                                 |
        | Models          | {"tutor": 1}                      |
        | Models          | ["tutor"]                         |
        | Models          | [{"Name": 5, "Version": 1}]       |
        | Models          | [{"Name": "tutor"}]               |
        | Models          | [{"Name": "tutor", "Version": -1}] |
        | Models          | [{"Name": "tutor", "Version": true}] |
        | born            | "1700000000000"                   |
        | born            | 1700000000000.5                   |
        | born            | -1                                |
        | born            | 0                                 |
        | born            | true                              |
        | born            | null                              |
      And entries are written that are no entries at all
        | entry            |
        | null             |
        | 5                |
        | "an entry"       |
        | []               |
        | {}               |
      Then only "reg-1" and "reg-2" are known
      And they alone get requests
      And the address that they named received nothing

    Scenario: An entry that is spoilt and then good again
      # Symptom: requests go to an upstream by what was known of it before
      #   somebody spoilt its entry.
      # Sequence: an entry is replaced by one in a state that isn't named.
      # Cause: an entry that could not be read left the last one in force.
      When upstream "reg-1" says that it is in a state of its own
      Then soon only "reg-2" receives requests
      When upstream "reg-1" says that it is ready
      Then soon both are known again

    Scenario: An entry that is spoilt and made good within one answer
      # Symptom: a router does not use an upstream whose entry is good.
      # Sequence: its entry is spoilt and made good before either is read.
      # Cause: what an answer told of an entry had lost its order.
      When the entry of upstream "reg-1" is spoilt and made good at once
      Then only "reg-1" and "reg-2" are known

    Scenario: Bytes that can't be read spoil no other entry
      # Symptom: a router learns of no change of any upstream.
      # Sequence: the bytes of one entry are no text, or break off.
      # Cause: a page or an answer was decoded as a whole.
      When entries are written whose bytes are
        | bytes                       |
        | "\xff\xfe"                  |
        | {"Service": "registry\xff"} |
        | "\ud800"                    |
        | {"Slots": NaN}              |
        | {"Slots": 1                 |
        | {"Service": "reg            |
        | nested                      |
      Then an upstream that comes then is used
      And a router that starts now knows it too

  Rule: What other writers leave elsewhere holds nothing up

    Background:
      Given a store with a configuration
      And engines "eng-1" and "eng-2"

    Scenario: Engines that no route uses
      # Symptom: an address is asked for reports and given orders where no
      #   upstream of the deployment is.
      # Sequence: an entry names a service that no configuration holds, or
      #   an engine's entry names no models.
      # Cause: orders went to whatever has a model, prompts to whatever has
      #   an engine's service.
      Given an engine's entry that names an unknown service
      And an engine's entry that names no models
      And a direct router
      When new weights are named
      Then all engines have them, by orders of one holder
      And prompts are answered by the other engines alone
      And the address that they named received nothing

    Scenario: Weights that an entry of an unknown service names
      # Symptom: a while after an odd entry was written all prompts are
      #   refused.
      # Sequence: an entry of a service that no configuration holds tells of
      #   weights that nobody named; older ones are overdue some seconds later.
      # Cause: what any entry tells was taken for named.
      Given an entry of an unknown service that has version 99
      And a direct router
      Then the router takes version 1 for the one named last

    Scenario: The lease is not held for years by garbage
      # Symptom: new weights are never loaded.
      # Sequence: somebody writes a lease record that is none, or that says
      #   it lasts for years.
      # Cause: a record's word for how long it lasts was not bounded.
      Given a lease record {"holder": "x", "nonce": "y", "duration_s": 1e9}
      And a direct router
      Then the router soon holds the lease, as if another had just acted

    Scenario Outline: The lease is not held by garbage
      Given a lease record <record>
      And a direct router
      Then the router soon holds the lease, as if another had just acted

      Examples:
        | record                                                         |
        | {"holder": "x", "nonce": "y", "duration_s": -1, "acted_ago_s": 9} |
        | {"holder": "x", "nonce": "y", "duration_s": 1, "acted_ago_s": -9} |
        | {"holder": "x"}                                                |
        | garbage                                                        |
        | 5                                                              |

    Scenario: Routers are not counted by garbage
      # Symptom: routers refuse requests, as each takes its part of what all
      #   share for smaller than it is.
      # Sequence: somebody writes entries among those of the routers.
      # Cause: every entry counted as a router.
      Given 5 entries of others among those of the routers
      And a direct router
      Then the router counts itself alone

    Scenario Outline: Objects beside the configuration that counts
      # Symptom: a router refuses all keys, or all paths.
      # Sequence: somebody writes another object of the configuration's kind.
      # Cause: each object of the kind was taken for the configuration.
      Given a direct router
      When somebody writes <object> beside the configuration
      Then the configuration stays in force and keys are known

      Examples:
        | object                                             |
        | {"Version": 99, "Routes": [], "Services": []}      |
        | {"Version": "99"}                                  |
        | 5                                                  |

    Scenario Outline: Odd versions of weights
      Given a direct router
      When new weights are named
      And somebody names the weights <named>
      Then all engines have them, by orders of one holder
      And prompts are answered

      Examples:
        | named                             |
        | {"Model": 5, "Version": 9}        |
        | {"Model": "", "Version": 9}       |
        | {"Model": "tutor", "Version": "9"} |
        | {"Model": "tutor", "Version": 0}  |
        | {"Model": "tutor", "Version": -9} |
        | {"Model": "tutor", "Version": true} |
        | {"Model": "tutor", "Version": 9.5} |
        | {"Model": "tutor"}                |
        | {"Version": 9}                    |
        | [9]                               |

  Rule: Whatever is written, the good entries hold

    Scenario Outline: Random spoilt entries among good ones
      # A seeded run: entries of upstreams, weights and the system's own
      # kinds are changed at random and written beside good ones.
      Given a store with a configuration
      And plain upstreams "reg-1" and "reg-2"
      And engines "eng-1" and "eng-2"
      And a direct router
      When <count> random spoilt entries of seed <seed> are written
      Then the good upstreams alone are known and serve
      And the address that they named received nothing
      When new weights are named
      Then all engines soon have them

      Examples:
        | count | seed |
        | 150   | 1    |
        | 150   | 2    |
