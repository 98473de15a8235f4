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
