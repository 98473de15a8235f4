Feature: Direct routers know how many they are

  What holds for all routers together is shared out by their number. Each
  keeps an entry in the store; time is the scenario's.

  Scenario: Routers count each other
    Given 3 routers that share a store
    When all of them renew their entries and look
    Then each counts 3 routers

  Scenario: A router that is gone is not counted for long
    # Symptom: after a day with many replacements the rest may repeat little.
    # Sequence: routers are killed; their entries stay in the store.
    # Cause: nothing in the store ends by itself.
    Given 3 routers that share a store
    When all of them renew their entries and look
    And one is killed and the others go on for 40 seconds
    Then each of the others counts 2 routers

  Scenario: A router that is not renewing for a moment is still counted
    Given 3 routers that share a store
    When all of them renew their entries and look
    And one is killed and the others go on for 20 seconds
    Then each of the others counts 3 routers

  Scenario: A router that stops is not counted any more
    Given 3 routers that share a store
    When all of them renew their entries and look
    And one leaves and the others look
    Then each of the others counts 2 routers

  Scenario: Entries of routers that are long gone are removed
    Given 3 routers that share a store
    When all of them renew their entries and look
    And one is killed and the others go on for 400 seconds
    Then the store holds 2 entries

  Scenario: A router whose answers are lost keeps its entry alive
    # Symptom: a router is taken for gone while it serves.
    # Sequence: the answer to a renewal is lost; every later one meets a
    #   conflict with it.
    # Cause: the version that the lost write made was never read.
    Given 2 routers that share a store
    When all of them renew their entries and look
    And the answer to a renewal of one is lost
    And both go on for 40 seconds
    Then each counts 2 routers

  Scenario Outline: Counting costs a large fleet no more than a small one
    # Symptom: control traffic of each router grows with the fleet.
    # Sequence: all routers read all entries every few seconds.
    # Cause: the time between two looks was the same for any number.
    When <routers> routers whose entries take 150 bytes look in turn
    Then each reads at most <bytes> bytes a second

    Examples:
      | routers | bytes |
      | 29      | 1100  |
      | 80      | 3000  |
      | 330     | 3000  |

  Scenario: Without the store a router assumes several
    Given 1 routers that share a store
    When the store gives no answer
    Then it assumes 8 routers
