Feature: A direct router leaves alone an upstream that asks for rest

  Background:
    Given a store with a configuration
    And plain upstreams "reg-1" and "reg-2"
    And engines "eng-1" and "eng-2"
    And a direct router

  Scenario Outline: Requests during the rest go to the other upstream
    # Guards against an upstream that is asked on while it has no room, and
    # callers that are refused while another upstream has.
    Given "<name>" refuses all requests and asks for 3 s of rest
    When a caller asks "<name>" once under that
    And callers send its service steadily 12 requests a second for 2.5 s
    Then "<name>" gets none of them within 3 s of its refusal, and all are answered

    Examples:
      | name  |
      | eng-1 |
      | reg-1 |

  Scenario: A refusal that is not declared as not run asks for rest as well
    Given "reg-1" refuses all requests with no word of whether they ran
    And "reg-1" asks for 3 s of rest
    When a caller asks "reg-1" once under that
    And callers send its service steadily 12 requests a second for 2.5 s
    Then "reg-1" gets none of them within 3 s of its refusal, and all are answered

  Scenario: It gets requests again after the rest
    Given "eng-1" refuses all requests and asks for 0.5 s of rest
    When a caller asks "eng-1" once under that
    And "eng-1" accepts requests again
    And 1 s of time pass
    And callers send its service steadily 12 requests a second for 1.5 s
    Then "eng-1" gets some of them, and all are answered

  Scenario: The next start of an upstream has not asked for rest
    Given "eng-1" refuses all requests and asks for 30 s of rest
    When a caller asks "eng-1" once under that
    And "eng-1" accepts requests again
    And "eng-1" restarts and is known
    And callers send its service steadily 12 requests a second for 1.5 s
    Then "eng-1" gets some of them, and all are answered

  Scenario Outline: A malformed time of rest breaks no answer
    Given "eng-1" refuses all requests and asks for "<text>" of rest
    When a caller asks "eng-1" once under that
    And "eng-1" accepts requests again
    And 1 s of time pass
    And callers send its service steadily 12 requests a second for 1.5 s
    Then "eng-1" gets some of them, and all are answered

    Examples:
      | text                          |
      | soon                          |
      | -5                            |
      | inf                           |
      | Wed, 21 Oct 2026 07:28:00 GMT |

  Scenario: All upstreams of a service rest
    # Guards against callers that come back too soon, or wait for nothing.
    Given "eng-1" refuses all requests and asks for 3 s of rest
    And "eng-2" refuses all requests and asks for 2 s of rest
    When a caller asks models until both engines have refused
    And callers send its service steadily 10 requests a second for 1 s
    Then all are refused at once until the first ends its rest
    And the log says that 2 asked for rest

  Scenario: A run that can continue nowhere else waits for the rest to end
    # Guards against continuations that pass the rest by.
    Given engines that copy the KV cache of runs
    When the engine of a run ends while that of its copy rests for 0.8 s
    Then the run continues there after the rest and loses no event
