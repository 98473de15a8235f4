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
