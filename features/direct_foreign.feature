Feature: Entries from other writers

  Rule: An invalid entry from another writer adds no upstream

    Background:
      Given a store with a configuration
      And plain upstreams "reg-1" and "reg-2"
      And a direct router

    Scenario: Entries with fields that are missing or invalid
      # Guards against requests to an address where no upstream is: an entry
      # from another writer may lack a field or have one of the wrong type,
      # which must not be replaced by a default.
      When entries are written that each lack one of these fields
        | field           |
        | Service         |
        | Address         |
        | Zone            |
        | Version         |
        | Slots           |
        | State           |
        | ColdRemainingMs |
        | Sequence        |
      And entries are written that each have one invalid field
        | field           | value                             |
        | Service         | 5                                 |
        | Service         | ""                                |
        | Address         | 5                                 |
        | Address         | "here"                            |
        | Address         | "127.0.0.1"                       |
        | Address         | "127.0.0.1:0"                     |
        | Address         | "127.0.0.1:x"                     |
        | Address         | "127.0.0.1:99999"                 |
        | Address         | "127.0.0.1:000080"                |
        | Address         | "127.0.0.1:٨٠"                    |
        | Address         | "[127.0.0.1]:80"                  |
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
      And values are written that are not entries
        | entry            |
        | null             |
        | 5                |
        | "an entry"       |
        | []               |
        | {}               |
      Then only "reg-1" and "reg-2" are known
      And only they receive requests
      And the address in those entries received nothing

    Scenario: An entry that is corrupted and later repaired
      # Guards against requests to an upstream by the last valid entry after
      # its entry was replaced by one with an undefined state.
      When upstream "reg-1" reports an undefined state
      Then soon only "reg-2" receives requests
      When upstream "reg-1" says that it is ready
      Then soon both are known again

    Scenario: An entry that is corrupted and repaired within one answer
      # Guards against a router that does not use an upstream with a valid
      # entry: if an entry is corrupted and repaired before the router reads
      # either change, their order in the answer counts.
      When the entry of upstream "reg-1" is corrupted and repaired at once
      Then only "reg-1" and "reg-2" are known

    Scenario: Undecodable bytes do not affect other entries
      # Guards against a router that misses the changes of all upstreams
      # because the bytes of one entry are not text or are truncated, and a
      # page or an answer is decoded as a whole.
      When entries are written whose bytes are
        | bytes                       |
        | "\xff\xfe"                  |
        | {"Service": "registry\xff"} |
        | "\ud800"                    |
        | {"Slots": NaN}              |
        | {"Slots": 1                 |
        | {"Service": "reg            |
        | nested                      |
      Then an upstream that registers afterwards is used
      And a router that starts now knows it too

    Scenario Outline: A number of an entry has thousands of digits
      # Guards against a router that follows upstreams no more, or doesn't
      # become ready: the conversion of that many digits fails with an error
      # of its own.
      When an entry is written whose <field> has 5000 digits
      Then an upstream that registers afterwards is used
      And a router that starts now knows it too

      Examples:
        | field    |
        | Address  |
        | Slots    |
        | Sequence |
        | born     |
        | Models   |

    Scenario: An entry whose decoder fails with an error of its own
      # Guards against one entry that keeps a router from following all others
      # whenever a decoder raises what nobody foresaw.
      Given decoders fail for the entry "odd-1" with an error of their own
      When an entry is written whose born has 13 digits
      Then an upstream that registers afterwards is used
      And a router that starts now knows it too

  Rule: Objects of other writers block no operation

    Background:
      Given a store with a configuration
      And engines "eng-1" and "eng-2"

    Scenario: Engines that no route uses
      # Guards against reports requested from, and orders sent to, an address
      # where no upstream of the deployment is. An entry may name a service
      # that is not configured, or an engine's entry may name no models.
      Given an engine's entry that names an unknown service
      And an engine's entry that names no models
      And a direct router
      When new weights are named
      Then all engines have them, by orders of one holder
      And prompts are answered by the other engines only
      And the address in those entries received nothing

    Scenario: Weights in an entry of an unknown service
      # Guards against refusing all prompts some seconds after an entry of a
      # service that is not configured reported weights that were never
      # released: they must not make the current weights overdue.
      Given an entry of an unknown service that has version 99
      And a direct router
      Then the router uses version 1 as the current release

    Scenario: A lease record of excessive duration does not block the lease
      # Guards against new weights that are never loaded because another writer
      # wrote a lease record that lasts for years: the duration in a record is
      # bounded.
      Given a lease record {"holder": "x", "nonce": "y", "duration_s": 1e9}
      And a direct router
      Then the router soon holds the lease as if another holder had just acted

    Scenario Outline: An invalid lease record does not block the lease
      Given a lease record <record>
      And a direct router
      Then the router soon holds the lease as if another holder had just acted

      Examples:
        | record                                                         |
        | {"holder": "x", "nonce": "y", "duration_s": -1, "acted_ago_s": 9} |
        | {"holder": "x", "nonce": "y", "duration_s": 1, "acted_ago_s": -9} |
        | {"holder": "x"}                                                |
        | garbage                                                        |
        | 5                                                              |

    Scenario Outline: A record of another writer is nested too deeply
      # Guards against a router that does not become ready, or never holds the
      # lease: decoders report such a text with an error of its own.
      Given a too deeply nested <record> record of another writer
      And a direct router
      Then all routers become ready
      And one of them soon holds the lease

      Examples:
        | record   |
        | crash    |
        | software |
        | lease    |
        | router   |

    Scenario: Invalid entries are not counted as routers
      # Guards against refused requests: each router takes its fraction of what
      # all routers share, which is too small if entries of other writers count
      # as routers.
      Given 5 entries of other writers among those of the routers
      And a direct router
      Then the router counts only itself

    Scenario Outline: Other objects of the configuration's kind
      # Guards against a router that refuses all keys or all paths because it
      # takes another object of the configuration's kind for the configuration.
      Given a direct router
      When another writer writes <object> next to the configuration
      Then the configuration stays active and its keys are valid

      Examples:
        | object                                             |
        | {"Version": 99, "Routes": [], "Services": []}      |
        | {"Version": "99"}                                  |
        | 5                                                  |

    Scenario Outline: Invalid releases of weights
      Given a direct router
      When new weights are named
      And another writer writes the release <release>
      Then all engines have them, by orders of one holder
      And prompts are answered

      Examples:
        | release                           |
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

  Rule: Valid entries stay in use whatever else is written

    Scenario Outline: Random corrupted entries among valid ones
      # With a seeded generator, entries of upstreams, weights and the
      # system's own kinds are corrupted and written next to valid ones.
      Given a store with a configuration
      And plain upstreams "reg-1" and "reg-2"
      And engines "eng-1" and "eng-2"
      And a direct router
      When <count> random corrupted entries with seed <seed> are written
      Then only the valid upstreams are known and serve
      And the address in those entries received nothing
      When new weights are named
      Then all engines soon have them

      Examples:
        | count | seed |
        | 150   | 1    |
        | 150   | 2    |
