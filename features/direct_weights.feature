Feature: Several versions of weights are named one after the other

  Rule: Each version has a time limit of its own

    Scenario Outline: An engine with old weights is not used for too long
      # Symptom: requests begin on weights that were superseded 8 s ago.
      # Sequence: weights are named, and newer ones before the time for the
      #   first is used up; an engine still has those before both.
      # Cause: the time was counted from the newest naming alone, so that
      #   every naming began it anew.
      Given a router with 3 engines that have version 1
      When weights are released after <named> s and none are loaded
      Then no engine is ever asked to begin a run on weights superseded 8 s ago
      And each is used until three quarters of that time

      Examples: series
        | named                       |
        | 0                           |
        | 0, 4.4                      |
        | 0, 5.9, 6.1                 |
        | 0, 3, 6, 9, 12, 15, 18      |
        | 1, 2, 3, 4, 5, 6, 7, 8, 9   |
        | 0, 0.02, 0.04, 0.06, 7.9, 8 |

    Scenario: Weights named without a pause
      # Symptom: an engine that takes no orders is used for ever.
      # Sequence: a new version is named again and again.
      # Cause: each naming began the time for new weights anew.
      Given a router with 3 engines that have version 1
      When 900 versions are released within 30 s and none are loaded
      Then no engine is ever asked to begin a run on weights superseded 8 s ago
      And the router stores few releases

    Scenario: Weights between those overdue and the newest are still used
      # Symptom: requests are refused though engines have allowed weights.
      # Sequence: an engine loads a version; a newer one is named; the time
      #   for the first is used up.
      # Cause: whatever is not the newest was taken for overdue.
      Given a router with 3 engines that have version 1
      When weights are released after 0, 4 s and an engine has loaded version 2
      Then 7 s after the first release that engine is asked for version 2
      And the other engines are asked for version 2

    Scenario: Older weights count less from the first naming that they lack
      # Symptom: requests begin on weights superseded 1.5 s ago though
      #   another engine has the new ones.
      # Sequence: weights are named; 0.6 s later newer ones.
      # Cause: the time was counted from the newest naming alone.
      Given a router with 2 engines that have version 1
      When weights are released after 0, 0.6 s and a busy engine has the last
      Then until 1.2 s the idle engine is chosen and then the busier one

    Scenario: An engine known to have overdue weights is asked last
      # Symptom: prompts cost repeats though another engine would run them.
      # Sequence: one engine loads the weights named, another does not; the
      #   older ones are overdue; the first is a little busier.
      # Cause: an engine that will refuse was taken for one that just loaded.
      Given a router with 2 engines that have version 1
      When weights are released, one engine loads them and has 60 ms of queued prefill
      Then once older weights are overdue that engine is chosen

  Rule: Versions of which a router did not hear at once have no more time

    Scenario Outline: A version found after a gap counts from the gap on
      # Symptom: a router begins requests on weights superseded 8 s ago.
      # Sequence: it does not hear of the store; versions are named; it finds
      #   the newest of them.
      # Cause: it counted the time for new weights from when it found them.
      Given a router with 3 engines that have version 1
      When version <version> is found that was released within the last <gap> s
      Then engines with version 1 are used for <used> s more

      Examples: gaps
        | version | gap  | used |
        | 2       | 0.0  | 6.0  |
        | 2       | 2.0  | 4.0  |
        | 3       | 2.0  | 4.0  |
        | 2       | 3.0  | 3.0  |
        | 2       | 60.0 | 2.5  |

    Scenario: A router that has just started
      # Symptom: a router that was restarted begins requests on weights
      #   superseded 8 s ago, when the platform counts it as one that runs.
      # Sequence: it starts, which takes up to 0.8 s, and reads that newer
      #   weights are named; engines still have older ones. The platform
      #   excuses it for 3 s from the start of its process.
      # Cause: the time for which it uses older weights counts from reading,
      #   and was 2.5 s.
      Given a router with 3 engines that have version 1
      When it finds version 2 as it starts
      Then engines with version 1 are used for 1.5 s more

    Scenario Outline: A router whose start took long
      # Symptom: as above, on a busy VM ("Weights are named." 1.6 s after the
      #   start of the process, requests on old weights 3.1 s after it).
      # Cause: the time counted from reading, whenever that was.
      Given a router with 3 engines that have version 1
      And its process was started <ago> s ago
      When it finds version 2 as it starts
      Then engines with version 1 are used for <more> s more

      Examples: starts
        | ago | more |
        | 0.2 | 1.5  |
        | 0.8 | 1.5  |
        | 1.6 | 0.7  |

    Scenario Outline: When what the store tells may have been made
      # Symptom: as above.
      # Sequence: a call that waits for changes fails; a change is made; the
      #   next answer, or a list, has it.
      # Cause: a change found so was taken for one just made.
      Given a router that reads a list and <then>
      When a change is reported to it after 0.3 s
      Then the change may have been made <ago> s before

      Examples: calls
        | then                          | ago |
        | waits for a change            | 0.0 |
        | whose call for changes fails  | 0.3 |
        | whose store drops its history | 1.0 |

    Scenario: Changes that are told after an answer that came late
      # Symptom: requests begin on weights superseded 5.3 to 6.3 s before,
      #   where 5 s are allowed.
      # Sequence: an answer that tells version 7 is 4 s on its way; versions 8
      #   to 12 are named meanwhile, and the next answer tells them at once
      #   ("Weights are named." 7 to 12 within 10 ms, 8 to 12 with an age of
      #   0).
      # Cause: only the late answer's own changes were taken for made before;
      #   what followed it was known to the store as long.
      Given a router that waits 0.2 s for an answer that comes after 1.0 s
      When the store reports another change at once
      Then the other change may have been made 1.0 s before

    Scenario: An upstream's entry tells of weights
      # Symptom: a router that can't read the weights sends requests to
      #   engines with old ones without an end.
      # Sequence: a router starts while the store does not tell the weights.
      # Cause: only answers told it that others have newer ones.
      Given a store with a configuration
      And engines "m-1" and "m-2"
      When engine "m-2" has version 3 and a router starts without the weights
      Then it knows that version 3 is released
      And it soon asks no engine for version 1

  Rule: Engines get the weights in time

    Scenario: An engine whose weights are nearly overdue goes first
      # Symptom: an engine is left with weights on which nothing may begin.
      # Sequence: its orders stay unanswered; versions go on being named;
      #   each deals the turns anew, and its turn is a late one.
      # Cause: turns were counted from the newest naming alone.
      Given 6 engines with version 1 of which 6 load later
      And the weights of the busiest are nearly overdue
      When version 4 is released
      Then only that one is ordered

    Scenario Outline: Versions named one after the other reach all engines
      Given <engines> engines that carry out <part> of 10 orders at once
      When versions are released every <every> s for 40 s
      Then at most one in three is ordered at a time
      And no engine that is nearly overdue is passed over for another
      And none lacks a version for over <worst> s

      Examples: answered
        | engines | part | every | worst |
        | 5       | 10   | 1     | 5     |
        | 5       | 10   | 4     | 5     |
        | 9       | 10   | 1     | 5     |
        | 9       | 10   | 2     | 5     |
        | 26      | 10   | 1     | 5     |
        | 26      | 10   | 4     | 5     |
        | 300     | 10   | 1     | 5     |

      Examples: unanswered
        | engines | part | every | worst |
        | 5       | 5    | 1     | 20    |
        | 9       | 5    | 2     | 20    |
        | 26      | 5    | 4     | 20    |
        | 300     | 5    | 1     | 20    |

  Rule: Routers send nothing to begin on overdue weights

    Scenario: Engines that take no orders while versions are named
      # Symptom: a prompt begins on weights superseded 8 s ago.
      # Sequence: version 2 is named, version 3 4.4 s later; an engine takes
      #   no orders.
      # Cause: version 3 began the time for new weights anew.
      Given a store with a configuration
      And engines "m-1" and "m-2"
      And a direct router
      When engines accept no orders and weights are released 4.4 s apart
      Then from 8 s after the first release on no prompt begins on version 1
