Feature: Days of our own for the users' bench

  Scenario: Every day file can be played
    # Symptom: a day is left out of every hunt without a word.
    # Sequence: a field or a kind of trouble is misspelt in its file.
    # Cause: nothing read the files before the bench did.
    Given the files in deploy/days
    Then each holds one day with its file's name
    And each entry has a moment, a kind that there is and only known fields
    And places are named by the signs that stand for a site's first

  Scenario Outline: A day file that is wrong is found
    Given a day file <text>
    Then it is found to be wrong

    Examples:
      | text                                                       |
      | name = "x"                                                 |
      | name = "x"; faults = [{ at = 1.0 }]                        |
      | name = "x"; faults = [{ kind = "burst" }]                  |
      | name = "x"; faults = [{ at = 1.0, kind = "brust" }]        |
      | name = "x"; faults = [{ at = 1.0, kind = "burst", y = 2 }] |
      | name = "x"; faults = [{ at = 1.0, kind = "burst", zone = "dha" }] |
      | name = "x"; faults = [{ at = -1.0, kind = "burst" }]       |
      | name = "x"; faults = [{ at = 1.0, kind = "burst" }]; labels = [] |
      | name = "x"; faults = [{ at = 1.0, kind = "burst" }]; length_s = 0 |
      | name = "x"; faults = [{ at = 1.0, kind = "burst" }]; classes = [{ name = "draft" }] |
      | name = "x"; faults = [{ at = 1.0, kind = "burst" }]; classes = [{ name = "@c0", retry = 3 }] |
      | name = "x"; faults = [{ at = 1.0, kind = "burst" }]; closing = { kind = "burst" } |
