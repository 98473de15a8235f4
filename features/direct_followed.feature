Feature: How a direct router follows a collection through failed calls

  Background:
    Given a follower whose entries are doubted after 4.85 s

  Scenario Outline: A failed call is followed by one for the changes since
    # Symptom: each fault of the store fills narrow links for seconds.
    # Sequence: a waiting call fails; the whole collection is read anew,
    #   which takes seconds on a narrow link, fills it and may fail again.
    # Cause: a failed call made what was known count for nothing.
    Given it has read the list of revision 5
    When its next call fails as <fault> after <received> bytes
    Then it <asks> next

    Examples:
      | fault        | received | asks                                     |
      | unavailable  | 0        | asks for changes since 5 without waiting |
      | rate-limited | 0        | asks for changes since 5 without waiting |
      | unavailable  | 9000     | asks for changes since 5 without waiting |
      | unknown      | 0        | reads the whole list                     |
      | rejected     | 0        | reads the whole list                     |

  Scenario: Before the first list there is nothing to ask changes since
    When its next call fails as unavailable after 9000 bytes
    Then it reads the whole list next

  Scenario: Changes that are cut twice in their middle are not asked for again
    # Symptom: a collection on a narrow link is never regained.
    # Sequence: it changes faster than all its changes arrive.
    # Cause: all changes are larger than what they lead to.
    Given it has read the list of revision 5
    When its next call fails as unavailable after 9000 bytes
    And its next call fails as unavailable after 9000 bytes
    Then it reads the whole list next

  Scenario: History that is gone leads to a whole read
    Given it has read the list of revision 5
    When its next call fails as unavailable after 0 bytes
    And its next call says that the history is gone
    Then it reads the whole list next

  Scenario: What was told just before a failure is asked for again
    # Symptom: a key that was taken away is served for ever.
    # Sequence: a store drops its history: calls that wait hear nothing of a
    #   change, then they are cut; a router goes on after a revision that
    #   such a call told.
    # Cause: a revision told by a deaf call was taken for known.
    Given it has read the list of revision 5
    When 2.0 s later a call tells revision 6 without changes
    And 1.0 s later a call tells revision 7 without changes
    And 0.5 s later a call tells revision 8 without changes
    And its next call fails as unavailable after 0 bytes
    And 3.0 s pass and its next call fails as unavailable after 0 bytes
    Then it asks for changes since 6 without waiting next

  Scenario: What was told long before a failure is known
    Given it has read the list of revision 5
    When 2.0 s later a call tells revision 6 without changes
    And 1.0 s later a call tells revision 7 without changes
    And 1.2 s later a call tells revision 8 without changes
    And 0.4 s pass and its next call fails as unavailable after 0 bytes
    Then it asks for changes since 7 without waiting next

  Scenario: A call that did not wait confirms nothing of its own time
    Given it has read the list of revision 5
    When 3.0 s pass and its next call fails as unavailable after 0 bytes
    And 2.0 s later a call tells revision 6 without changes
    Then all changes up to 3.0 s ago are known to it

  Scenario: The first list tells how long the next answer may take
    Given it has read a list that took 1.6 s to arrive
    Then its next call waits 0.3 s

  Scenario Outline: A call waits no longer than what is known stays believed
    # Symptom: a router refuses keys though the store answers each call.
    # Sequence: a large change takes seconds to arrive; the next call waits
    #   its whole time; another large change follows.
    # Cause: the wait did not depend on what was confirmed, and how long
    #   answers take.
    Given it has read the list of revision 5
    When a change comes after <after> s, <took> s of which it was arriving
    Then its next call waits <wait> s

    Examples:
      | after | took | wait |
      | 0.01  | 0.01 | 1.2  |
      | 1.2   | 0.01 | 1.2  |
      | 1.2   | 0.5  | 1.2  |
      | 1.2   | 1.4  | 0.85 |
      | 2.6   | 1.4  | 0.3  |
      | 3.7   | 1.4  | 0.18 |
      | 4.5   | 1.4  | 0.0  |

  Rule: What was told once more or late is not taken for new

    Scenario: An upstream that is gone stays gone after a failed call
      # Symptom: requests are sent to an upstream that was removed before.
      # Sequence: its entry changes and is removed; a call fails; both are
      #   told once more.
      # Cause: the change added the entry anew, and its removal, right after
      #   a failure, was believed seconds later.
      Given a follower that keeps what lapsed, with entry "a"
      When "a" changes and is removed, a call fails and both are told again
      Then it has no entries

    Scenario: A change that was read long after its call counts from the call
      # Symptom: requests begin on old weights longer than allowed.
      # Sequence: a router stands still, or its link is full, while the
      #   naming of new ones is on its way.
      # Cause: what a waiting call tells counted as just made.
      Given a follower that keeps what lapsed, with entry "a"
      When a call that was to wait 1.2 s tells a change 9 s after it was sent
      Then the change may have been made 9 s ago

    Scenario: A configuration that can't be read is asked for at usual times
      # Symptom: routers use up the reads that the store allows.
      # Sequence: somebody writes a configuration that can't be read.
      # Cause: a call waits the shorter the older what is known is, and only
      #   one that can be read makes it younger.
      Given a strict follower whose entries are doubted after 4.85 s
      When its entry can't be read for 20 s
      Then every call waits 1.2 s

    Scenario: An entry that was spoilt after a change is not used
      # Symptom: requests go to an upstream whose entry somebody spoilt.
      # Sequence: one answer tells a good entry and then a spoilt one.
      # Cause: the spoilt one was looked at first.
      Given a follower that drops what can't be read, with entry "a"
      When one answer tells a change of "a" and that it can't be read
      Then it has no entries
