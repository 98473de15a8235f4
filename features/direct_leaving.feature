Feature: A direct router believes an upstream that says that it leaves

  Background:
    Given a store with a configuration
    And plain upstreams "reg-1" and "reg-2"
    And engines "eng-1" and "eng-2"
    And a direct router

  Scenario Outline: An answer tells before the entry in the store does
    # Guards against requests that are lost with an upstream that ends, while
    # its entry can't be written or read.
    Given "<name>" says that it leaves
    When a caller asks "<name>" once under that
    And callers send 30 requests to its service
    Then "<name>" gets none of them, and all are answered

    Examples:
      | name  |
      | eng-1 |
      | reg-1 |

  Scenario: A refusal tells as well
    # Guards against asking an upstream again that refuses as it leaves.
    Given "eng-1" refuses all requests and says that it leaves
    When a caller asks "eng-1" once under that
    And callers send 30 requests to its service
    Then "eng-1" gets none of them, and all are answered

  Scenario: An entry that was written before does not take it back
    Given "eng-1" says that it leaves
    When a caller asks "eng-1" once under that
    And "eng-1" is registered as ready once more
    And callers send 30 requests to its service
    Then "eng-1" gets none of them, and all are answered

  Scenario: The next start of an upstream is no longer leaving
    Given "eng-1" says that it leaves
    When a caller asks "eng-1" once under that
    And "eng-1" restarts and is known
    And callers send 30 requests to its service
    Then "eng-1" gets some of them, and all are answered

  Scenario Outline: A malformed statement changes nothing
    Given "eng-1" says "<text>" of whether it leaves
    When a caller asks "eng-1" once under that
    And callers send 30 requests to its service
    Then "eng-1" gets some of them, and all are answered

    Examples:
      | text  |
      | 0     |
      | maybe |
      | 1, 1  |

  Scenario: All upstreams of a service leave
    # Guards against requests that wait for their deadline.
    Given both engines say that they leave
    When a caller asks "eng-1" once under that
    And a caller asks "eng-2" once under that
    And a caller asks a model
    Then it is refused at once, and the log says that 2 leave
