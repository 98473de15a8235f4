@slow
Feature: Routers keep their promises under random faults

  Three router processes use a fake store and fake upstreams behind proxies.
  Faults are drawn from a seed: links that drop data in one or both
  directions, delay it or reset connections, signals, pauses, a store that
  loses responses, upstreams with faulty responses.

  Scenario: A repeated stop signal aborts no request
    # Guards against answers that are aborted during a restart: a draining
    # router took a second stop signal for that of an operator who can't wait
    # and exited at once.
    Given a router process with a request under way
    When the process gets two stop signals and the upstreams resume
    Then the request is answered and the process exits by itself

  Scenario: Output that is read after a router was terminated
    # Guards against a soak that fails by itself: the rest of the output was
    # written to a log that had been closed.
    When a router is terminated while its output is unread
    Then no task of the soak fails

  Scenario: Two test runs on one machine choose other ports
    # Guards against a router that can't listen after a restart, as a test run
    # beside this one has chosen its port while it was down.
    Given ports for a router of this test run
    When 6 other processes choose ports from a range with these
    Then none of them chose these

  Scenario Outline: The soak finds runs at work at two upstreams
    # Guards against a soak that passes while a run goes on at an upstream and
    # the one before still works on it.
    Given an upstream that works on a run <seconds> s after it went on elsewhere
    And a disturbance of <subject> while it went on
    When the soak checks for how long upstreams worked on it
    Then it counts <overlaps> overlaps and <excused> excused ones

    Examples:
      | seconds | subject        | overlaps | excused |
      | 0.3     | nothing        | 0        | 0       |
      | 0.5     | nothing        | 1        | 0       |
      | 0.5     | another router | 1        | 0       |
      | 0.5     | its router     | 0        | 1       |
      | 0.5     | its stops      | 0        | 1       |
      | 0.5     | the soak       | 0        | 1       |

  Scenario Outline: The soak finds answers that callers must not get
    # Guards against a soak that passes while callers get what an upstream sent
    # after a failure.
    Given a request whose send was answered with <first>
    And its next send was answered with <second>
    When the soak checks a caller that got <status> signed by send <number>
    Then it counts <faults> answers that the caller must not get

    Examples:
      | first                        | second                   | status | number | faults |
      | a success                    | nothing                  | 200    | 0      | 0      |
      | a failure, then a success    | nothing                  | 502    | 0      | 0      |
      | a failure, then a success    | nothing                  | 200    | 0      | 1      |
      | a failure, then a success    | a success                | 200    | 1      | 0      |
      | a failure, then a success    | a success                | 200    | 0      | 1      |
      | a success of another request | nothing                  | 200    | 0      | 1      |
      | a success                    | nothing                  | 200    | 7      | 1      |
      | a success                    | its rest                 | 200    | 0      | 0      |
      | a success                    | a failure, then its rest | 200    | 0      | 1      |

  Scenario: Seeds that failed once
    When every seed that ever failed is run
    Then no promise is broken

  Scenario: Seeds that failed once while a request crashed upstreams
    When every seed with crashes that ever failed is run
    Then no promise is broken
