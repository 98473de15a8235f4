Feature: Large numbers of the platform count as much as small ones

  Versions and eras may be counted from a time in milliseconds.

  Scenario: An engine has newer weights than its entry says
    # Guards against a refusal by the only engine, which names a version of 13
    # digits that its router does not read.
    Given a store with a configuration
    And an engine whose weights have a newer version of 13 digits
    And a direct router
    When a caller asks a model
    Then the answer is 200 with all events once and in order

  Scenario Outline: A store whose eras count from any number is restored
    # Guards against a key that was taken away and is served on, as the router
    # does not see that the store was restored.
    Given a store with a configuration
    And eras of the store that count from <first>
    And plain upstreams "reg-1" and "reg-2"
    And a direct router
    When the platform restores the store, a key is revoked and other writes follow
    Then a request with that key soon gets 401

    Examples:
      | first         |
      | 0             |
      | 1             |
      | 1764800000000 |

  Scenario Outline: One holder of the lease, whatever number eras count from
    # Guards against two routers that send orders in turns: a lease in the copy
    # counts as held although its holder had released it.
    Given a store with a configuration
    And eras of the store that count from <first>
    And router "a" holds the lease when the platform makes a copy
    And router "a" has released it, and router "b" holds it
    When the platform restores the store from that copy
    Then router "a" does not hold the lease before that of "b" has ended

    Examples:
      | first         |
      | 0             |
      | 1             |
      | 1764800000000 |
