Feature: An audit trail that cannot be changed unseen

  Background:
    Given a platform and the operators "ana, bob, cleo, dan"
    And audit trails

  Scenario: Rolls are entered
    When "ana" edits the share to 2
    And "ana" rolls the edit
    And the rolls are entered in the audit trail
    And "bob" edits the share to 3
    And "bob" rolls the edit
    And "ana" rolls back to roll 1
    And the rolls are entered in the audit trail
    Then the trail "bundle" is whole, with 3 entries
    And the trail agrees with the history of rolls

  Scenario: A roll whose entry was never written is entered later, once
    # Symptom: a change is in force and the trail does not tell who made it.
    # Sequence: ana's roll takes effect, her machine crashes before the entry
    # is written, bob rolls. Cause: two writes that are not one.
    When "ana" edits the share to 2
    And "ana" rolls the edit
    And "bob" edits the share to 3
    And "bob" rolls the edit
    Then the trail differs from the history of rolls: "roll 1, signed by ana' by 'ana' is not entered"
    When the rolls are entered in the audit trail
    And the rolls are entered once more
    Then the trail "bundle" is whole, with 2 entries
    And the trail agrees with the history of rolls

  Scenario: Rolls are entered once behind many tries that lost
    # Symptom: rolls stand twice in the trail. Sequence: so many tries lose that
    # the newest chunks hold no roll; the next roll is entered. Cause: rolls
    # looked for in the newest chunks alone.
    When "ana" edits the share to 2
    And "ana" rolls the edit
    And the rolls are entered in the audit trail
    And 200 records are appended to "bundle"
    And "bob" edits the share to 3
    And "bob" rolls the edit
    And the rolls are entered in the audit trail
    Then the trail "bundle" is whole, with 202 entries
    And the trail agrees with the history of rolls

  Scenario: A changed entry is found
    When 5 records are appended to "orders"
    And in "orders" "diagnostic-1" is changed to "diagnostic-2"
    Then the trail "orders" tells of a fault: "entry 1 was changed"

  Scenario: A changed last entry is found
    When 1 records are appended to "orders"
    And in "orders" "diagnostic-1" is changed to "diagnostic-2"
    Then the trail "orders" tells of a fault: "the last entries up to 1 were changed"

  Scenario: A changed archive is found
    When 70 records are appended to "orders"
    And in an archived part "diagnostic-1" is changed to "diagnostic-2"
    Then the trail "orders" tells of a fault: "was changed"

  Scenario: A trail written anew does not agree with the signed history
    # Symptom: the trail blames bob for ana's roll, and verifies. Sequence: a
    # person with access to the platform writes all entries anew, hashes too.
    # Cause: a chain of hashes alone proves order, not origin.
    When "ana" edits the share to 2
    And "ana" rolls the edit
    And the rolls are entered in the audit trail
    And the trail "bundle" is written anew with "bob" for "ana"
    Then the trail "bundle" is whole, with 1 entries
    And the trail differs from the history of rolls: "by 'bob', which the signed history does not"

  Scenario: A history written anew is not signed
    # Symptom: the trail blames bob for ana's roll, and agrees with the history.
    # Sequence: a person with access to the platform writes the trail and the
    # head anew. Cause: a history taken from the platform unchecked.
    When "ana" edits the share to 2
    And "ana" rolls the edit
    And the head at the platform names "bob" for "ana"
    Then the history is refused: "the signature"

  Scenario: Writers race and lose answers, and each record is entered once
    # Symptom: an order stands twice in the trail, or not at all. Sequence: many
    # writers append at once while answers get lost and chunks are archived.
    # Cause: a lost answer taken for a failure, or looked for only in the
    # newest chunk.
    Given a platform that is slow and loses 20% of the answers
    When 5 writers append 60 records each to "orders"
    Then the trail "orders" is whole, with 300 entries
    And the newest chunk of "orders" is smaller than 40000 bytes

  Scenario: Many records at once stay within a value of the platform
    When 4000 records are appended to "orders" at once
    Then the trail "orders" is whole, with 4000 entries
    And the newest chunk of "orders" is smaller than 60000 bytes

  Scenario Outline: A lost answer is looked for in the archive too
    # Symptom: a record stands twice in the trail. Sequence: its write takes
    # effect, the answer is lost, others fill chunks that are archived, the
    # writer reads back. Cause: only the newest chunk is searched.
    When a record is appended to "orders", its answer is lost and <others> others follow
    Then the trail "orders" is whole, with <all> entries

    Examples:
      | others | all |
      | 1      | 2   |
      | 64     | 65  |
      | 200    | 201 |

  Scenario: Records wait for the end of an outage
    When the platform goes down
    And a daemon reports 40 records
    And it writes them
    Then 40 records wait
    When the platform is back
    And it writes them
    Then 0 records wait
    And the trail "orders" is whole, with 40 entries

  Scenario: Two writings at once enter each record once
    # Symptom: a router ends its drain with exit code 1 and "pop from an empty
    # deque" (chaos seed 100). Sequence: a writing at its interval still waits
    # for a slow platform when the end of the drain writes, too. Cause: both
    # take the same records, and each lets go of them.
    Given a platform that is slow and loses 20% of the answers
    When a daemon reports 40 records
    And it writes them twice at once
    Then 0 records wait
    And the trail "orders" is whole, with 40 entries

  Scenario: A long outage drops the newest records and says so
    When the platform goes down
    And a daemon reports 5000 records
    Then 4096 records wait
    When the platform is back
    And it writes them
    And a daemon reports 1 records
    And it writes them
    Then the trail "orders" is whole, with 4098 entries
    And the trail "orders" says "904 records dropped in an outage"

  Scenario: A drain is entered, and an outage does not hold it up
    # Symptom: nobody knows afterwards why requests were cut; or a process that
    # was told to end goes on until it is killed. Sequence: a VM is drained,
    # with the platform up or down. Cause: an entry never made, or waited for.
    Given a fleet of 1 router(s), 1 model worker(s) and 0 plain worker(s)
    When "agent-diagnostic-1" gets SIGTERM
    Then "agent-diagnostic-1" exits with code 0
    And the trails of the fleet tell of "begins" and "complete" by "agent-diagnostic-1"
    When the platform of the fleet goes down
    And "router-1" gets SIGTERM
    Then "router-1" exits with code 0
