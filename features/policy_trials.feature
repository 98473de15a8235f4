Feature: Policies are compared by paired plays

  Scenario: Revisions and settings are read
    When the arms "base=abc1" and "half=HEAD{"patience":0.5}" are read
    Then arm "half" is revision "HEAD" with patience 0.5

  Scenario: A text that names no revision is refused
    When the arm "base" is read
    Then the text is refused with "expected NAME=REVISION, got 'base'"

  Scenario Outline: A difference counts only where its spread leaves zero out
    When worth differs by <differences> in paired plays
    Then the difference of worth is <verdict>

    Examples:
      | differences                   | verdict        |
      | 0.02 0.03 0.02 0.03           | told apart     |
      | -0.02 -0.03 -0.02 -0.03       | told apart     |
      | 0.05 -0.04 0.06 -0.03         | not told apart |
      | 0.05                          | not told apart |

  Scenario: A price that one arm does not pay counts as nothing
    When two of four plays of the second arm pay 0.04 for loads
    Then the price of loads differs by 0.02 on average

  Scenario: A comparison that was ended goes on where it was
    # Guards against playing hours of days again.
    Given a bench that writes a journal entry for each play
    When two arms are played on 2 days with 2 seeds
    And the same comparison is started again
    Then each of the 8 plays was made once
    And the journal entries are kept as they were written

  Scenario: A play without figures is told and spoils no other
    # Guards against a comparison that ends with its first failed play.
    Given a bench that fails on day "day-2"
    When two arms are played on 2 days with 2 seeds
    Then 4 plays are reported as failed
    And 2 pairs are compared

  Scenario: Settings of an arm reach the settings of the routers
    Given a repository with a template of settings
    When an arm with patience 0.5 is checked out
    Then its template is JSON with patience 0.5
