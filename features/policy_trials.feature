Feature: Policies are compared by paired plays

  Scenario: Revisions and settings are parsed
    When the arms "base=abc1" and "half=HEAD{"patience":0.5}" are read
    Then arm "half" is revision "HEAD" with patience 0.5

  Scenario: An arm without a revision is rejected
    When the arm "base" is read
    Then the text is rejected with "expected NAME=REVISION, got 'base'"

  Scenario Outline: Only an interval that excludes zero is significant
    When worth differs by <differences> in paired plays
    Then the difference of worth is <verdict>

    Examples:
      | differences                   | verdict        |
      | 0.02 0.03 0.02 0.03           | told apart     |
      | -0.02 -0.03 -0.02 -0.03       | told apart     |
      | 0.05 -0.04 0.06 -0.03         | not told apart |
      | 0.05                          | not told apart |

  Scenario: A price missing from a play counts as zero
    When two of four plays of the second arm pay 0.04 for loads
    Then the price of loads differs by 0.02 on average

  Scenario: An interrupted comparison resumes where it stopped
    # Guards against repeating hours of completed plays after a restart.
    Given a bench that writes a journal entry for each play
    When two arms are played on 2 days with 2 seeds
    And the same comparison is started again
    Then each of the 8 plays was made once
    And the journal entries are copied unchanged

  Scenario: A play without figures is reported and does not affect the others
    # Guards against a comparison that stops at its first failed play.
    Given a bench that fails on day "day-2"
    When two arms are played on 2 days with 2 seeds
    Then 4 plays are reported as failed
    And 2 pairs are compared

  Scenario: Policy settings of an arm are written to the router settings
    Given a repository with a settings template
    When an arm with patience 0.5 is checked out
    Then its template is JSON with patience 0.5
