Feature: Direct routers count each other

  Limits of the whole fleet are divided by the number of routers. Each router
  keeps an entry in the store. Time is simulated.

  Scenario: Routers count each other
    Given 3 routers that share a store
    When all of them renew their entries and count
    Then each counts 3 routers

  Scenario: A terminated router is not counted for long
    # Guards against retry budgets that shrink over a day with many
    # replacements: entries of killed routers stay in the store, which expires
    # nothing by itself.
    Given 3 routers that share a store
    When all of them renew their entries and count
    And one is killed and the others run for 40 seconds
    Then each of the others counts 2 routers

  Scenario: A router that misses a renewal is still counted
    Given 3 routers that share a store
    When all of them renew their entries and count
    And one is killed and the others run for 20 seconds
    Then each of the others counts 3 routers

  Scenario: Routers that were all killed have their shares soon
    # Guards against routers that refuse teams for tens of seconds: at a start
    # the store refuses most calls, and the next try waits for a count whose
    # interval grows with the number of routers.
    Given 300 routers that have entries of predecessors
    And a store that takes 100 writes a second
    When all of them start at once
    Then each has its share within 8 seconds

  Scenario: A router that stops is no longer counted
    Given 3 routers that share a store
    When all of them renew their entries and count
    And one leaves and the others count
    Then each of the others counts 2 routers

  Scenario: Entries of routers that terminated long ago are removed
    Given 3 routers that share a store
    When all of them renew their entries and count
    And one is killed and the others run for 400 seconds
    Then the store holds 2 entries

  Scenario: A router whose responses are lost keeps its entry alive
    # Guards against counting a serving router as terminated: the response to
    # a renewal is lost, and every later one conflicts with it because the
    # version of that write was never read.
    Given 2 routers that share a store
    When all of them renew their entries and count
    And the response to a renewal of one is lost
    And both run for 40 seconds
    Then each counts 2 routers

  Scenario Outline: Counting costs a large fleet no more than a small one
    # Guards against control traffic that grows with the fleet: all routers
    # read all entries every few seconds, at an interval that did not depend on
    # their number.
    When <routers> routers whose entries take 150 bytes count in turn
    Then each reads at most <bytes> bytes a second

    Examples:
      | routers | bytes |
      | 29      | 1100  |
      | 80      | 3000  |
      | 330     | 3000  |

  Scenario: Without the store a router assumes several
    Given 1 routers that share a store
    When the store does not respond
    Then it assumes 8 routers
