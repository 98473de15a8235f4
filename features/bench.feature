Feature: A bench that says what it could not measure

  Scenario: A row that is rejected is measured once more
    Given 4 rows of which the third is rejected the first time
    When they are measured 2 at a time
    Then 4 rows have figures and none is rejected
    And 5 measurements were made, at most 2 at once

  Scenario: A row rejected twice stays in the report as rejected
    Given 4 rows of which the third is rejected each time
    When they are measured 2 at a time
    Then 4 rows have figures and the third is rejected
    And 5 measurements were made, at most 2 at once

  Scenario: A row that fails is named and the others are kept
    Given 4 rows of which the second fails
    When they are measured 1 at a time
    Then 3 rows have figures and none is rejected
    And the failure of the second is named
    And the second is listed as not run

  Scenario: Each row is handed on as soon as it is there
    Given 4 rows
    When they are measured 1 at a time
    Then the rows were handed on 1, 2, 3 and 4 at a time

  Scenario: Rows that the time limit leaves out are listed
    Given 4 rows
    When they are measured 1 at a time with no time left
    Then 0 rows have figures and none is rejected
    And 4 rows are listed as not run

  Scenario: Ours is compared with the best baseline by each measure
    Given measured rows of one deployment in fair weather
      | policy        | hit_rate | wasted_tokens | ttft_p99_ms |
      | random        | 0.5      | 1000          | 400         |
      | prefix-hash   | 0.9      | 200           | 800         |
      | expected-cost | 0.81     | 100           | 200         |
      | oracle        | 0.9      | 50            | 100         |
    When ours is compared
    Then the ratios are
      | measure       | best baseline | to baseline | to oracle |
      | hit_rate      | prefix-hash   | 0.9         | 0.9       |
      | wasted_tokens | prefix-hash   | 0.5         | 2.0       |
      | ttft_p99_ms   | random        | 0.5         | 2.0       |

  Scenario: Rows of other weather are not compared
    Given measured rows of one deployment in fair weather
      | policy        | hit_rate | wasted_tokens | ttft_p99_ms |
      | expected-cost | 0.81     | 100           | 200         |
    And a row of prefix-hash during a crash
    When ours is compared
    Then there is nothing to compare with
