Feature: A direct router refuses what is beyond a team's limit

  Background:
    Given a store with a configuration
    And plain upstreams "reg-1" and "reg-2"
    And engines "eng-1" and "eng-2"

  Scenario: A request beyond the limit gets 429 and does not run
    Given a direct router whose predecessor was counted
    When team "north" may run 1 request a second
    And a caller fetches records until it gets 429
    Then its Retry-After is when the next request fits
    And only the requests that were answered ran
    And a record is fetched by the other team

  Scenario: Tokens count as the caller states them
    Given a direct router whose predecessor was counted
    When team "north" may run 1000 tokens a second
    And a caller states "990,10" tokens and then "500,100"
    Then the first is answered and the second gets 429

  Scenario Outline: Requests that state no tokens count what is configured
    # Guards against a limit that a caller evades by what it states.
    Given a direct router whose predecessor was counted
    When team "north" may run 1000 tokens a second
    And a caller states "<stated>" tokens and then "500,100"
    Then the first is answered and the second gets 429

    Examples:
      | stated     |
      | -90000,5   |
      | many       |
      | 1e3        |
      |            |

  Scenario: A request that the upstreams refuse costs nothing
    # Guards against refusing a team for requests that never ran.
    Given a direct router whose predecessor was counted
    When team "north" may run 1 request a second
    And the upstreams refuse all requests
    And a caller fetches a record
    Then the answer is 503 with a time to come back
    And a record is fetched once they accept again

  Scenario Outline: A malformed limit leaves the previous configuration in force
    Given a direct router whose predecessor was counted
    When team "north" may run 1 request a second
    And the limit is written with <field> <value>
    Then the configuration before stays in force, and the log names <named>

    Examples:
      | field          | value   | named          |
      | RatePerS       | -1      | RatePerS       |
      | RatePerS       | "many"  | RatePerS       |
      | Burst          | -5      | Burst          |
      | UncachedTokens | "all"   | UncachedTokens |
      | Unit           | "words" | words          |

  Scenario: A router says what decided
    Given a direct router whose predecessor was counted
    When team "north" may run 1 request a second
    And a caller fetches records until it gets 429
    Then the line of the refused request names the limit and what was held
    And the metrics count it by team
