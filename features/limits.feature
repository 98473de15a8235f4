Feature: A team's limits hold over all routers

  The limiters of the routers and the holders at the agents are the real
  ones; the clock is moved by the scenario, so that each run is the same.

  Scenario Outline: What passes stays within a tenth of the limit
    Given a team with a limit of 50 requests a second
    When <offered> requests a second come <way> through <routers> routers
    Then what passes is within 10 percent of what the limit allows

    Examples:
      | offered | way    | routers |
      | 100     | evenly | 3       |
      | 100     | evenly | 40      |
      | 100     | moving | 3       |
      | 50      | moving | 3       |
      | 500     | alone  | 3       |
      | 25      | evenly | 3       |

  Scenario: Messages follow time and not requests
    Given a team with a limit of 50 requests a second
    When 500 requests a second come alone through 3 routers
    Then there is less than one message for 10 requests

  Rule: Limits hold while nobody shares them out

    Scenario: No holder can be reached
      # Symptom: a team passes many times its limit during a fault.
      # Sequence: the routers lose their links to the agent that shares the
      #   team's limit out, while the team floods all of them.
      # Cause: a router without a part would admit without a bound.
      Given a team with a limit of 50 requests a second
      And no holder can be reached
      When 500 requests a second come evenly through 3 routers
      Then no more passes than the limit allows and one second's burst

    Scenario: The holder restarts during a flood
      # Symptom: after a restart of an agent a team passes its limit.
      # Sequence: the holder loses all reports; the first router to report
      #   again is alone in its memory and is given the whole limit.
      # Cause: parts are divided among the routers that have reported.
      Given a team with a limit of 50 requests a second
      And the holders restart every 10 seconds
      When 100 requests a second come evenly through 3 routers
      Then what passes is within 10 percent of what the limit allows

  Rule: One team's flood leaves the others alone

    Scenario: Each team has its own part
      Given a team with a limit of 50 requests a second
      And another team far below its limit
      When both send through 3 routers, the first at 10 times its limit
      Then every request of the other team passes

  Scenario: A new limit is in force at once
    Given a team with a limit of 50 requests a second
    When the limit is lowered to 5 during a flood
    Then what passes afterwards follows the new limit

  Scenario: A refusal says when to come back
    Given a team with a limit of 1 request a second
    When 5 requests come at once to one router
    Then the refusals are not-run for the team's limit with a time to retry
