Feature: A direct router watches a collection through failed calls

  Background:
    Given a watcher whose entries must be confirmed within 4.85 s

  Scenario Outline: After a failed call the watcher asks for later changes
    # Guards against a full read after each failed call: it takes seconds on a
    # narrow link, saturates it and may fail again.
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

  Scenario: Before the first list there is no revision to resume from
    When its next call fails as unavailable after 9000 bytes
    Then it reads the whole list next

  Scenario: Changes that are truncated twice are not requested again
    # Guards against never catching up on a narrow link: a collection changes
    # faster than its changes arrive, and they are larger than a full read.
    Given it has read the list of revision 5
    When its next call fails as unavailable after 9000 bytes
    And its next call fails as unavailable after 9000 bytes
    Then it reads the whole list next

  Scenario: Expired history leads to a full read
    Given it has read the list of revision 5
    When its next call fails as unavailable after 0 bytes
    And its next call reports that its history has expired
    Then it reads the whole list next

  Scenario: Changes just before a failure are requested again
    # Guards against serving a revoked key forever: before a store drops its
    # history, pending watch calls miss changes and are then closed; a router
    # resumed from a revision that such a call had returned.
    Given it has read the list of revision 5
    When 2.0 s later a call returns revision 6 without changes
    And 1.0 s later a call returns revision 7 without changes
    And 0.5 s later a call returns revision 8 without changes
    And its next call fails as unavailable after 0 bytes
    And 3.0 s pass and its next call fails as unavailable after 0 bytes
    Then it asks for changes since 6 without waiting next

  Scenario: A revision returned long before a failure is reliable
    Given it has read the list of revision 5
    When 2.0 s later a call returns revision 6 without changes
    And 1.0 s later a call returns revision 7 without changes
    And 1.2 s later a call returns revision 8 without changes
    And 0.4 s pass and its next call fails as unavailable after 0 bytes
    Then it asks for changes since 7 without waiting next

  Scenario: A call that did not wait confirms no time after it was sent
    Given it has read the list of revision 5
    When 3.0 s pass and its next call fails as unavailable after 0 bytes
    And 2.0 s later a call returns revision 6 without changes
    Then all changes up to 3.0 s ago are known to it

  Scenario: The first list sets the expected transfer time of a response
    Given it has read a list that took 1.6 s to arrive
    Then its next call waits 0.3 s

  Scenario Outline: A call ends before the entries expire
    # Guards against rejecting keys although the store responds to each call: a
    # large change takes seconds to arrive, the next call waits its whole time
    # and another large change follows. The wait has to depend on the last
    # confirmation and on the transfer time of responses.
    Given it has read the list of revision 5
    When a change arrives after <after> s, <took> s of which is its transfer
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

  Rule: Repeated or delayed changes do not count as new

    Scenario: A removed upstream stays removed after a failed call
      # Guards against requests to a removed upstream: after a failed call the
      # change and the removal of its entry are returned again. The change
      # added the entry, and right after a failure removals are delayed by
      # seconds.
      Given a watcher that retains lapsed entries, with entry "a"
      When "a" changes and is removed, a call fails and both are returned again
      Then it has no entries

    Scenario: The age of a delayed change counts from the call
      # Guards against using superseded weights for too long: a router is
      # suspended or its link is saturated while the release of new weights is
      # in flight, and the change counted as just made.
      Given a watcher that retains lapsed entries, with entry "a"
      When a call that should wait 1.2 s returns a change 9 s after it was sent
      Then the change may have been made 9 s ago

    Scenario: An unreadable configuration is polled at the usual rate
      # Guards against exhausting the read quota of the store: calls wait less
      # the older the last confirmation is, and an unreadable configuration
      # can't be confirmed.
      Given a strict watcher whose entries must be confirmed within 4.85 s
      When its entry can't be read for 20 s
      Then every call waits 1.2 s

    Scenario: An entry that becomes unreadable after a change is not used
      # Guards against requests to an upstream whose entry is unreadable: one
      # response returns a valid value and then an unreadable one, which was
      # processed first.
      Given a watcher that drops unreadable entries, with entry "a"
      When one response returns a change of "a" and reports it as unreadable
      Then it has no entries
