Feature: The target size is worked out from what was measured

  Scenario: A line through measured points
    Given points at 10, 20 and 40 of a line with slope 3 and 5 at zero
    Then the fit has slope 3, gives 305 at 100 and no error

  Scenario: Two points are no measurement
    Given points at 10 and 20 of a line with slope 3 and 5 at zero
    Then the fit is refused

  Scenario: A sum above its limit is red
    Given a page with marks and a table of 20 under a limit of 16
    When the tables are written twice
    Then the page says RED once in its summary and keeps its own words

  Scenario: Looking members up does not search the table
    # Symptom: at 1,220 members a router's CPU is spent without requests.
    # Sequence: twice a second each link asks whether its agent is leaving.
    # Cause: each answer searched all members, so that the cost grew with
    #   the square of the fleet.
    Given a table of 200 members that counts how often it is read
    When a router polls its members 50 times
    Then the table was read once
    And after one member leaves, the next poll knows it
