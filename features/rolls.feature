Feature: Bundles are rolled once, one after the other

  Scenario: A roll, an edit, a rollback
    Given a platform and the operators "ana, bob"
    When "ana" edits the share to 2
    And "ana" rolls the edit
    Then roll 1 is in force
    When "bob" edits the share to 3
    And "bob" rolls the edit
    Then roll 2 is in force
    When "ana" rolls back to roll 1
    Then roll 3 is in force
    And rolls 1 and 3 are of the same bundle
    And the history has 3 rolls

  Scenario Outline: A lost answer leads to one roll
    # Symptom: one change is rolled twice, or its operator is told that she lost
    # to herself. Sequence: a write of the roll takes effect, its answer gets
    # lost, the operator's machine writes again. Cause: a lost answer taken for
    # a failure.
    Given a platform and the operators "ana, bob"
    When "ana" edits the share to 2
    And "ana" rolls the edit
    And "ana" edits the share to 3
    And the answers of the next <lost> writes to the platform get lost
    And "ana" rolls the edit
    Then roll 2 is in force
    And the history has 2 rolls
    When "ana" rolls the same edit again
    Then roll 2 is in force
    And the history has 2 rolls

    Examples:
      | lost |
      | 1    |
      | 2    |
      | 3    |
      | 5    |

  Scenario: The loser of two operators is told who, when and what
    # Symptom: an operator's change disappears without a word. Sequence: ana and
    # bob edit roll 1, bob rolls, ana rolls. Cause: the last writer wins.
    Given a platform and the operators "ana, bob"
    When "ana" edits the share to 2
    And "ana" rolls the edit
    And "ana" edits the share to 3
    And "bob" edits the share to 4
    And "bob" rolls the edit
    Then roll 2 is in force
    When "ana" rolls the edit
    Then the roll fails as "conflict": "roll 2 by 'bob' at 2026-01-01T00:00:00+00:00 is in force; this bundle was edited from roll 1"
    And the roll fails as "conflict": "theirs -> yours: teams.team-0.share: 4.0 -> 3.0"
    And the history has 2 rolls

  Scenario: A rolled edit is found although others rolled since
    # Symptom: an operator whose machine crashed rolls her change a second time,
    # over what others rolled since. Sequence: ana's roll takes effect, her
    # machine crashes, bob rolls, ana runs the command again. Cause: only the
    # head in force is compared, not the history.
    Given a platform and the operators "ana, bob"
    When "ana" edits the share to 2
    And "ana" rolls the edit
    And "bob" edits the share to 4
    And "bob" rolls the edit
    And "ana" rolls the same edit again
    Then the operator is told that roll 1 took effect
    And the history has 2 rolls

  Scenario Outline: A lost answer is judged by the history, not by the head
    # Symptom: an operator is told that she lost and rolls again, though her
    # bundle was in force. Sequence: ana's roll takes effect, its answer is
    # lost, bob rolls, ana reads back and finds bob's head. Cause: only the
    # head in force is compared.
    Given a platform and the operators "ana, bob"
    When "ana" edits the share to 2
    And "ana" rolls the edit, its answer is lost and "bob" rolls <times> times before it is read back
    Then the operator is told that roll 1 took effect
    When "ana" rolls the same edit again
    Then the operator is told that roll 1 took effect
    And the history has <all> rolls

    Examples:
      | times | all |
      | 1     | 2   |
      | 2     | 3   |

  Scenario: A part that was tampered with is refused
    Given a platform and the operators "ana, bob"
    When "ana" edits the share to 2
    And "ana" rolls the edit
    And a part of the bundle in force is tampered with at the platform
    Then reading the bundle in force fails: "tampered with"

  Scenario Outline: A roll mends parts that the platform lost or changed
    # Symptom: nobody can roll, or a roll is in force that no process can read.
    # Sequence: the platform loses or changes a part that did not change since
    # the last roll; an operator rolls. Cause: parts of the last roll taken to
    # be there, or the last bundle read in full before the next is rolled.
    Given a platform and the operators "ana, bob"
    When "ana" edits the share to 2
    And "ana" rolls the edit
    And "ana" edits the share to 3
    And each part of the bundle in force is <damaged> at the platform
    And "ana" rolls the edit
    Then roll 2 is in force
    And a process that starts uses roll 2

    Examples:
      | damaged |
      | lost    |
      | changed |

  Scenario: A bundle with problems can be replaced
    # Symptom: after an upgrade operators can roll nothing. Sequence: a release
    # adds a check that the bundle in force does not pass. Cause: the last
    # bundle held to checks that are for the next one.
    Given a platform and the operators "ana, bob"
    And checks that find nothing
    When "ana" edits the share to -1
    And "ana" rolls the edit
    Then roll 1 is in force
    When the checks are back
    And "ana" edits the share to -2
    And "ana" rolls the edit
    Then the roll fails as "refused": "expected a number above 0"
    When "ana" edits the share to 2
    And "ana" rolls the edit
    Then roll 2 is in force
    And a process that starts uses roll 2

  Scenario: 200 racing rolls with lost answers make one linear history
    # Symptom: the fleet goes back to an older bundle, or two operators believe
    # that theirs is in force. Sequence: four operators read, edit and roll at
    # once while answers get lost. Cause: numbers given without a conditional
    # update, or a lost answer that is rolled again under the next number.
    Given a platform and the operators "ana, bob, cleo, dan"
    And a platform that is slow and loses 20% of the answers
    When 200 rolls of all operators race
    Then one linear history holds exactly the 200 rolls that won
    And some operators lost and some answers were lost
    And the process that followed saw no revert

  Scenario: A rollback lists no withdrawn key again
    # Symptom: a stolen key signs again. Sequence: bob's key is withdrawn, a
    # later bundle turns out wrong, an operator rolls back to before the
    # withdrawal. Cause: a rollback that takes the operators along unseen.
    Given a platform and the operators "ana, bob"
    When "ana" edits the share to 2
    And "ana" rolls the edit
    And "ana" withdraws the key of "bob" and rolls
    Then roll 2 is in force
    When "ana" tries to go back to roll 1
    Then the roll fails as "refused": "roll 1 lists keys that were withdrawn since: bob"
    When "ana" tries to go back to roll 2
    Then the roll fails as "conflict": "roll 2 already has the bundle of roll 2"

  Scenario Outline: A launcher rolls the bundle of a deployment
    Given a platform over HTTP and a launcher
    When it rolls the bundle of "<deployment>"
    And it rolls the bundle of "<deployment>" again
    Then a process that knows its key uses roll 2 with the teams of "<deployment>"

    Examples:
      | deployment |
      | moravia    |
      | lahore     |
