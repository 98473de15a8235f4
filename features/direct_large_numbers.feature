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

  Scenario: A store whose eras have 13 digits is restored
    # Guards against a key that was taken away and is served on, as the router
    # does not see that the store was restored.
    Given a store with a configuration
    And eras of the store with 13 digits
    And plain upstreams "reg-1" and "reg-2"
    And a direct router
    When the platform restores the store, a key is revoked and other writes follow
    Then a request with that key soon gets 401
