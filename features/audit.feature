Feature: An audit trail that shows each tampering

  Background:
    Given a platform and the operators "ana, bob, cleo, dan"
    And audit trails

  Scenario: Rolls are recorded
    When "ana" edits the share to 2
    And "ana" rolls the edit
    And the missing rolls are appended to the audit trail
    And "bob" edits the share to 3
    And "bob" rolls the edit
    And "ana" rolls back to roll 1
    And the missing rolls are appended to the audit trail
    Then the trail "bundle" is complete, with 3 entries
    And the trail agrees with the roll history

  Scenario: A roll whose entry was never written is recorded later, once
    # Guards against an active change that the trail does not attribute: roll
    # and entry are two separate writes. ana's roll takes effect, her machine
    # crashes before the entry is written, and bob rolls.
    When "ana" edits the share to 2
    And "ana" rolls the edit
    And "bob" edits the share to 3
    And "bob" rolls the edit
    Then the trail differs from the roll history: "roll 1, signed by ana' by 'ana' is not entered"
    When the missing rolls are appended to the audit trail
    And the missing rolls are appended again
    Then the trail "bundle" is complete, with 2 entries
    And the trail agrees with the roll history

  Scenario: Rolls are recorded once after many failed attempts
    # Guards against looking for rolls only in the newest chunks: after many
    # failed attempts these contain no roll, and the next append records rolls
    # twice.
    When "ana" edits the share to 2
    And "ana" rolls the edit
    And the missing rolls are appended to the audit trail
    And 200 records are appended to "bundle"
    And "bob" edits the share to 3
    And "bob" rolls the edit
    And the missing rolls are appended to the audit trail
    Then the trail "bundle" is complete, with 202 entries
    And the trail agrees with the roll history

  Scenario: A changed entry is detected
    When 5 records are appended to "orders"
    And in "orders" "diagnostic-1" is changed to "diagnostic-2"
    Then the trail "orders" reports a fault: "entry 1 was changed"

  Scenario: A changed last entry is detected
    When 1 records are appended to "orders"
    And in "orders" "diagnostic-1" is changed to "diagnostic-2"
    Then the trail "orders" reports a fault: "the last entries up to 1 were changed"

  Scenario: A changed archive is detected
    When 70 records are appended to "orders"
    And in an archived part "diagnostic-1" is changed to "diagnostic-2"
    Then the trail "orders" reports a fault: "was changed"

  Scenario: A rewritten trail does not agree with the signed history
    # Guards against relying on the hash chain alone, which proves order but
    # not origin: a person with access to the platform rewrites all entries and
    # hashes, and the trail attributes ana's roll to bob but verifies.
    When "ana" edits the share to 2
    And "ana" rolls the edit
    And the missing rolls are appended to the audit trail
    And the trail "bundle" is rewritten with "bob" instead of "ana"
    Then the trail "bundle" is complete, with 1 entries
    And the trail differs from the roll history: "by 'bob', which the signed history does not"

  Scenario: A rewritten history is not signed
    # Guards against an unverified history: a person with access to the
    # platform rewrites trail and head, and the trail attributes ana's roll to
    # bob but agrees with the history.
    When "ana" edits the share to 2
    And "ana" rolls the edit
    And the head at the platform names "bob" instead of "ana"
    Then the history is refused: "the signature"

  Scenario: Concurrent writers with lost answers append each record once
    # Guards against treating a lost answer as a failure, and against looking
    # for it only in the newest chunk: writers append concurrently while
    # answers are lost and chunks are archived, and an order is recorded twice
    # or never.
    Given a platform that is slow and loses 20% of the answers
    When 5 writers append 60 records each to "orders"
    Then the trail "orders" is complete, with 300 entries
    And the newest chunk of "orders" is smaller than 40000 bytes

  Scenario: Many records at once stay within the object size limit
    When 4000 records are appended to "orders" at once
    Then the trail "orders" is complete, with 4000 entries
    And the newest chunk of "orders" is smaller than 60000 bytes

  Scenario Outline: A record with a lost answer is also searched in the archive
    # Guards against searching only the newest chunk: a write takes effect, its
    # answer is lost, other writers fill chunks that are archived, and the
    # record is appended a second time.
    When a record is appended to "orders", its answer is lost and <others> others follow
    Then the trail "orders" is complete, with <all> entries

    Examples:
      | others | all |
      | 1      | 2   |
      | 64     | 65  |
      | 200    | 201 |

  Scenario: Records stay pending until the end of an outage
    When the platform goes down
    And a daemon reports 40 records
    And it flushes them
    Then 40 records are pending
    When the platform is available again
    And it flushes them
    Then 0 records are pending
    And the trail "orders" is complete, with 40 entries

  Scenario: Two concurrent flushes append each record once
    # Guards against two flushes that both remove the same records: a router
    # ends its drain with exit code 1 and "pop from an empty deque" (chaos seed
    # 100). The periodic flush still waits for a slow platform when the final
    # flush of the drain starts.
    Given a platform that is slow and loses 20% of the answers
    When a daemon reports 40 records
    And it flushes them twice concurrently
    Then 0 records are pending
    And the trail "orders" is complete, with 40 entries

  Scenario: A long outage drops the newest records and records the loss
    When the platform goes down
    And a daemon reports 5000 records
    Then 4096 records are pending
    When the platform is available again
    And it flushes them
    And a daemon reports 1 records
    And it flushes them
    Then the trail "orders" is complete, with 4098 entries
    And the trail "orders" says "904 records dropped in an outage"

  Scenario: A drain is recorded, and an outage does not delay it
    # Guards against a missing entry, so that nobody knows why requests were
    # cut off, and against waiting for the entry, so that a process continues
    # until it is killed. A VM is drained with the platform up or down.
    Given a fleet of 1 router(s), 1 model worker(s) and 0 plain worker(s)
    When "agent-diagnostic-1" gets SIGTERM
    Then "agent-diagnostic-1" exits with code 0
    And the trails of the fleet record "begins" and "complete" by "agent-diagnostic-1"
    When the platform of the fleet goes down
    And "router-1" gets SIGTERM
    Then "router-1" exits with code 0
