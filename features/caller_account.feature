Feature: Callers share what a process may hold

  An account with room for 1000 bytes and 4 connections; its clock stands at
  10 s.

  Background:
    Given an account for 1000 bytes and 4 connections

  Scenario: What has cost most makes room
    # Guards against ordinary callers that are ended in place of those that
    # hold much for long.
    Given "slow" holds 600 bytes of an answer since 2 s
    And "large" holds 300 bytes of a body since 9 s
    And "small" holds 5 bytes of a head since 8 s
    When "new" holds 200 bytes of a body
    Then these were ended: "slow"
    And 505 bytes are held
    And the limit "held_bytes" has acted

  Scenario: An idle connection holds no bytes to make room with
    # Guards against kept connections that are closed for nothing.
    Given "slow" holds 900 bytes of an answer since 9 s
    And "idle" is idle since 1 s
    When "new" holds 200 bytes of a body
    Then these were ended: "slow"

  Scenario: What the process works on is not ended
    # Guards against answers that are lost for requests that come later.
    Given "work" collects 900 bytes of an answer since 1 s
    When "new" holds 200 bytes of a body
    Then these were ended: "new"
    And 900 bytes are held

  Scenario: An answer without room is not held
    # Guards against answers that exceed the bound while nothing can be ended.
    Given "work" collects 900 bytes of an answer since 1 s
    When "more" collects 200 bytes of an answer
    Then it has no room
    And these were ended: ""
    And 900 bytes are held

  Scenario: The connection that was idle for longest makes room for a new one
    Given "first" is idle since 1 s
    And "second" is idle since 2 s
    And "slow" holds 600 bytes of an answer since 1 s
    And "work" collects 10 bytes of an answer since 1 s
    When "new" connects
    Then these were ended: "first"
    And the limit "connections" has acted

  Scenario: Without an idle connection the one that has cost most makes room
    Given "slow" holds 600 bytes of an answer since 1 s
    And "less" holds 60 bytes of an answer since 1 s
    And "work" collects 10 bytes of an answer since 1 s
    And "more" collects 10 bytes of an answer since 1 s
    When "new" connects
    Then these were ended: "slow"

  Scenario: No connection is taken while the process works on all others
    Given "1" collects 10 bytes of an answer since 1 s
    And "2" collects 10 bytes of an answer since 1 s
    And "3" collects 10 bytes of an answer since 1 s
    And "4" collects 10 bytes of an answer since 1 s
    When "new" connects
    Then it is not taken
    And these were ended: ""

  Scenario Outline: Bounds follow the size of the VM
    When a VM has <memory_mb> MB and <vm> descriptors, and a process <own>
    Then callers may hold <bytes> bytes and <connections> connections

    Examples:
      | memory_mb | vm   | own   | bytes    | connections |
      | 150       | 4100 | 65536 | 18750000 | 1831        |
      | 128       | 1638 | 65536 | 16000000 | 719         |
      | 552       | 8192 | 4096  | 69000000 | 1948        |
      | 100       | 0    | 300   | 12500000 | 50          |
      | 100       | 200  | 300   | 12500000 | 1           |
