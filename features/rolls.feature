Feature: Bundles are rolled once and in a linear order

  Scenario: A roll, an edit, a rollback
    Given a platform and the operators "ana, bob"
    When "ana" edits the share to 2
    And "ana" rolls the edit
    Then roll 1 is active
    When "bob" edits the share to 3
    And "bob" rolls the edit
    Then roll 2 is active
    When "ana" rolls back to roll 1
    Then roll 3 is active
    And rolls 1 and 3 have the same bundle
    And the history has 3 rolls

  Scenario Outline: A lost answer does not lead to a second roll
    # Guards against treating a lost answer as a failure: the write takes
    # effect, its answer is lost and the operator's machine writes again. The
    # change is then rolled twice, or conflicts with itself.
    Given a platform and the operators "ana, bob"
    When "ana" edits the share to 2
    And "ana" rolls the edit
    And "ana" edits the share to 3
    And the answers of the next <lost> writes to the platform are lost
    And "ana" rolls the edit
    Then roll 2 is active
    And the history has 2 rolls
    When "ana" rolls the same edit again
    Then roll 2 is active
    And the history has 2 rolls

    Examples:
      | lost |
      | 1    |
      | 2    |
      | 3    |
      | 5    |

  Scenario: A conflict reports operator, time and differences
    # Guards against the last writer winning: ana and bob edit roll 1, bob
    # rolls, then ana rolls, and bob's change is lost without a message.
    Given a platform and the operators "ana, bob"
    When "ana" edits the share to 2
    And "ana" rolls the edit
    And "ana" edits the share to 3
    And "bob" edits the share to 4
    And "bob" rolls the edit
    Then roll 2 is active
    When "ana" rolls the edit
    Then the roll fails as "conflict": "roll 2 by 'bob' at 2026-01-01T00:00:00+00:00 is in force; this bundle was edited from roll 1"
    And the roll fails as "conflict": "theirs -> yours: teams.team-0.share: 4.0 -> 3.0"
    And the history has 2 rolls

  Scenario: A repeated roll is recognized after later rolls
    # Guards against comparing only the active head, not the history: ana's
    # roll takes effect, her machine crashes, bob rolls and ana repeats the
    # command. Her change is then rolled again, over bob's.
    Given a platform and the operators "ana, bob"
    When "ana" edits the share to 2
    And "ana" rolls the edit
    And "bob" edits the share to 4
    And "bob" rolls the edit
    And "ana" rolls the same edit again
    Then the result is that roll 1 took effect
    And the history has 2 rolls

  Scenario Outline: A lost answer is resolved by the history, not by the head
    # Guards against comparing only the active head: ana's roll takes effect,
    # its answer is lost, bob rolls, and ana reads bob's head back. She is told
    # of a conflict and rolls again, though her bundle was active.
    Given a platform and the operators "ana, bob"
    When "ana" edits the share to 2
    And "ana" rolls the edit, its answer is lost and "bob" rolls <times> times before it is read back
    Then the result is that roll 1 took effect
    When "ana" rolls the same edit again
    Then the result is that roll 1 took effect
    And the history has <all> rolls

    Examples:
      | times | all |
      | 1     | 2   |
      | 2     | 3   |

  Scenario: A part that was tampered with is refused
    Given a platform and the operators "ana, bob"
    When "ana" edits the share to 2
    And "ana" rolls the edit
    And a part of the active bundle is tampered with at the platform
    Then reading the active bundle fails: "tampered with"

  Scenario Outline: A roll repairs parts that the platform lost or changed
    # Guards against assuming that the parts of the last roll exist, and
    # against reading the last bundle in full before the next roll: the
    # platform loses or changes an unchanged part. Then nobody can roll, or no
    # process can read the active roll.
    Given a platform and the operators "ana, bob"
    When "ana" edits the share to 2
    And "ana" rolls the edit
    And "ana" edits the share to 3
    And each part of the active bundle is <damaged> at the platform
    And "ana" rolls the edit
    Then roll 2 is active
    And a new process uses roll 2

    Examples:
      | damaged |
      | lost    |
      | changed |

  Scenario: An invalid active bundle can be replaced
    # Guards against applying the checks for the next bundle to the last one: a
    # release adds a check that the active bundle fails, and operators can roll
    # nothing after the upgrade.
    Given a platform and the operators "ana, bob"
    And a validator without content checks
    When "ana" edits the share to -1
    And "ana" rolls the edit
    Then roll 1 is active
    When the content checks are active again
    And "ana" edits the share to -2
    And "ana" rolls the edit
    Then the roll fails as "refused": "expected a number above 0"
    When "ana" edits the share to 2
    And "ana" rolls the edit
    Then roll 2 is active
    And a new process uses roll 2

  Scenario: 200 concurrent rolls with lost answers form one linear history
    # Guards against numbers that are assigned without a conditional update,
    # and against repeating a roll under the next number after a lost answer:
    # the fleet reverts to an older bundle, or two operators both get a
    # success. Four operators read, edit and roll concurrently while answers
    # are lost.
    Given a platform and the operators "ana, bob, cleo, dan"
    And a platform that is slow and loses 20% of the answers
    When 200 rolls of all operators run concurrently
    Then one linear history contains exactly the 200 successful rolls
    And some rolls conflicted and some answers were lost
    And the observing process saw no revert

  Scenario: A rollback does not restore a revoked key
    # Guards against a rollback that restores the operators unnoticed: bob's
    # key is revoked, a later bundle is wrong, an operator rolls back to before
    # the revocation, and a stolen key can sign again.
    Given a platform and the operators "ana, bob"
    When "ana" edits the share to 2
    And "ana" rolls the edit
    And "ana" revokes the key of "bob" and rolls
    Then roll 2 is active
    When "ana" tries to roll back to roll 1
    Then the roll fails as "refused": "roll 1 lists keys that were withdrawn since: bob"
    When "ana" tries to roll back to roll 2
    Then the roll fails as "conflict": "roll 2 already has the bundle of roll 2"

  Scenario Outline: A launcher rolls the bundle of a deployment
    Given a platform over HTTP and a launcher
    When it rolls the bundle of "<deployment>"
    And it rolls the bundle of "<deployment>" again
    Then a process with its root key uses roll 2 with the teams of "<deployment>"

    Examples:
      | deployment |
      | moravia    |
      | lahore     |
