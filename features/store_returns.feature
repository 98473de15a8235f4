Feature: The store returns from an older copy

  It loses what was written since, goes back in its revisions, gives them out
  again and tells a new era.

  Rule: Routers serve callers by what was written, not by what was copied

    Background:
      Given a store with a configuration
      And plain upstreams "reg-1" and "reg-2"
      And a direct router

    Scenario: A key taken away right after the return is refused
      # Guards against watches that go on from a revision of another era.
      When the store returns from a copy, a key is taken away and other writes follow
      Then a request with that key soon gets 401

    Scenario: A key taken away before the return is not served again
      # Guards against taking the configuration of the copy for the newest.
      When a key is taken away and the store returns from a copy made before
      Then no request with that key is answered 200 for 3 s

    Scenario: Keys are confirmed again once the configuration is written again
      # Guards against doubt that never ends.
      When a key is taken away and the store returns from a copy made before
      And the operator writes the configuration again
      Then a request with another key soon gets 200
      And a request with that key soon gets 401

    Scenario: A configuration that only the copy holds confirms no key
      # Guards against serving keys that a lost configuration took away.
      When a key is taken away and the store returns from a copy made before
      Then a request with another key soon gets 503

    Scenario: An upstream that had gone is not used again
      # Guards against entries of upstreams that left after the copy.
      When upstream "reg-2" goes and the store returns from a copy made before
      Then no request reaches "reg-2" for 3 s

    Scenario: An upstream that the copy lacks is kept
      # Guards against dropping upstreams that write their entries again.
      When upstream "reg-3" comes and the store returns from a copy made before
      And upstream "reg-3" writes its entry again 1 s later
      Then "reg-3" was known all the time

    Scenario: Two returns in a row
      # Guards against an era that is only compared with the first one.
      When the store returns from a copy, a key is taken away and other writes follow
      And the store returns from a copy, a key is taken away and other writes follow
      Then a request with that key soon gets 401

  Rule: What is followed belongs to one era

    Background:
      Given a strict follower of versions that has read version 7 in era 1

    Scenario Outline: Answers of another era are not joined to what is known
      # Guards against changes told since a revision of another era.
      When <answer> of era <era> comes
      Then the whole list is read next

      Examples:
        | answer     | era |
        | no change  | 2   |
        | a change   | 2   |
        | an error   | 2   |

    Scenario: A waiting call is given up when another one tells the new era
      # Guards against a watch that the store forgot and never answers.
      When another follower of the store hears of era 2 during a call of 9 s
      Then the call ends within 1 s
      And the whole list is read next

    Scenario: A late list of the era before is not believed
      # Guards against answers that were long on their way.
      When another follower of the store hears of era 2
      And a list of era 1 comes
      Then version 7 is known and not confirmed
      And the whole list is read next

    Scenario: An older version in the copy neither counts nor confirms
      # Guards against confirming keys by a configuration known to be old.
      When a list of era 2 with version 5 comes, and again 30 s later
      Then version 7 is known and not confirmed
      When version 9 is told in era 2
      Then version 9 is known and confirmed

    Scenario: The same version confirms once lost writes had their time
      # Guards against a lost configuration that this router never read.
      When a list of era 2 with version 7 comes
      Then version 7 is known and not confirmed
      When it is followed for 2.5 s more
      Then version 7 is known and confirmed

    Scenario: Eras that rise twice are both noticed
      # Guards against a second return that is taken for the first one.
      When a list of era 2 with version 7 comes
      And no change of era 3 comes
      Then the whole list is read next

  Rule: One holder of the lease at a time, across returns

    Background:
      Given a store of objects in era 1

    Scenario: A lease that the copy shows as free is waited out
      # Guards against two routers that order in turns.
      Given router "a" held and released the lease before the copy
      And router "b" holds the lease
      When the store returns from the copy
      Then router "a" takes the lease after 2.2 s and not before
      And "a" counts another holder as acting until the return

    Scenario: A lease that the copy lacks is waited out
      # Guards against two routers that order in turns.
      Given router "b" holds a lease that is no part of the copy
      And router "a" knows that it is held
      When the store returns from the copy
      Then router "a" takes the lease after 2.2 s and not before

    Scenario: The own record in the copy is waited out too
      # Guards against a holder that was replaced after the copy.
      Given router "a" held the lease before the copy and did not release it
      And router "b" holds the lease
      When the store returns from the copy
      Then router "a" takes the lease after 2.2 s and not before

    Scenario: A renewal that meets the same revision in a new era is no lease
      # Guards against conditions that hold by chance in a new era.
      Given router "b" holds the lease
      When the store returns and another write has the same revision
      Then router "b" renews the lease without effect on its own belief

    Scenario: A write whose answer was lost is not made again in a new era
      # Guards against overwriting the lease of a new holder.
      Given router "b" holds the lease
      When the answer to a renewal is lost and the store returns
      Then router "b" does not hold the lease
      And the store has its record of the copy

    Scenario: Fencing numbers grow over returns
      # Guards against an order that upstreams take for an older one.
      Given router "b" holds the lease
      When the store returns from the copy twice and "b" takes the lease each time
      Then each fencing number is higher than the one before

  Rule: Routers write again what they had written

    Background:
      Given a store of objects in era 1

    Scenario: Routers that the copy lacks are counted on and write again
      # Guards against shares that grow while entries are missing.
      Given 3 routers counted each other after the copy
      When the store returns from the copy
      Then each counts 3 routers while all write their entries again
      And the store has entries of 3 routers

    Scenario: Renewals count although versions went back
      # Guards against routers that are taken for gone after a return.
      Given 3 routers counted each other before the copy and were renewed often
      When the store returns from the copy
      Then each counts 3 routers for 60 s

    Scenario: Records of crashes are written again
      # Guards against requests that crash upstreams being let in again.
      Given a router that wrote a record of a crash after the copy
      When the store returns from the copy
      Then the store has the record again
