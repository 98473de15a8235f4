Feature: Continuous integration counts what behave counted
  A run passes only if tests ran and none failed but those on record.

  Scenario Outline: A verdict follows from the counts
    Given <passed> scenarios passed and these failed: "<failed>"
    And these are known red: "<known>"
    Then the run's verdict is <verdict>
    And the last line of the report is "<last>"

    Examples:
      | passed | failed | known | verdict | last               |
      | 2      |        |       | pass    | 2 passed, 0 failed |
      | 2      | a      |       | fail    | 2 passed, 1 failed |
      | 2      | a      | a     | pass    | 2 passed, 1 failed |
      | 2      | a, b   | a     | fail    | 2 passed, 2 failed |
      | 0      |        |       | fail    | 0 passed, 0 failed |
      | 0      | a      | a     | fail    | 0 passed, 1 failed |

  Scenario: A fourth known red test is refused
    Given a list of 4 known red tests
    Then the list is refused with "at most 3"

  Scenario: Known red tests of an issue that allows any number
    # Guards against a list that cannot hold all tests of such an issue.
    Given a list of 3 known red tests and 5 of issue 84
    Then the list has 8 tests

  Scenario: A known red test without a cause is refused
    Given a known red line "features/a.feature: x | issue 5"
    Then the list is refused with "file: scenario | cause | issue"

  Scenario: A scenario whose step is undefined or errs counts as failed
    Given a feature with a passing, a failing, an erring and an undefined step
    When the test run takes that feature
    Then its last line is "1 passed, 3 failed"
    And its exit code is 1

  Scenario: What failed is printed last
    # Guards against a failure whose reason is lost in the output of others.
    Given a feature that fails, and one that passes later
    When both are run side by side
    Then the reason of the failure comes after the other feature
    And its last line is "1 passed, 1 failed"
    And its exit code is 1
