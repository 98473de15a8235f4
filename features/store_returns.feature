Feature: The store is restored from an older snapshot

  It loses later writes, its revisions go back and are assigned again, and it
  reports a new era.

  Rule: Routers serve callers by what was written, not by what was restored

    Background:
      Given a store with a configuration
      And plain upstreams "reg-1" and "reg-2"
      And a direct router

    Scenario: A key revoked right after the restore is rejected
      # Guards against watches that resume from a revision of another era.
      When the platform restores the store, a key is revoked and other writes follow
      Then a request with that key soon gets 401

    Scenario: A key revoked before the restore is not served again
      # Guards against applying the restored configuration as the latest.
      When a key is revoked and the store is restored to a snapshot from before
      Then no request with that key is answered 200 for 3 s

    Scenario: Keys are confirmed again once the configuration is written again
      # Guards against entries that stay unverified forever.
      When a key is revoked and the store is restored to a snapshot from before
      And the operator writes the configuration again
      Then a request with another key soon gets 200
      And a request with that key soon gets 401

    Scenario: A configuration that is only in the snapshot confirms no key
      # Guards against serving keys that a lost configuration revoked.
      When a key is revoked and the store is restored to a snapshot from before
      Then a request with another key soon gets 503

    Scenario: A removed upstream is not used again
      # Guards against entries of upstreams that left after the snapshot.
      When upstream "reg-2" is removed and the store is restored to an earlier snapshot
      Then no request reaches "reg-2" for 3 s

    Scenario: An upstream that is missing in the snapshot is kept
      # Guards against dropping upstreams that write their entries again.
      When upstream "reg-3" is registered and the store is restored to an earlier snapshot
      And upstream "reg-3" writes its entry again 1 s later
      Then "reg-3" was known throughout

    Scenario: Two restores in a row
      # Guards against comparing the era with the first one only.
      When the platform restores the store, a key is revoked and other writes follow
      And the platform restores the store, a key is revoked and other writes follow
      Then a request with that key soon gets 401

  Rule: A router that starts knows whether the store was restored before

    Background:
      Given a store with a configuration
      And plain upstreams "reg-1" and "reg-2"

    Scenario: A router that starts right after a restore serves no revoked key
      # Guards against a configuration of the copy that counts as confirmed at
      # a process that knows nothing of the time before.
      Given a direct router
      When a key is revoked and the store is restored to a snapshot from before
      And a new router takes its place
      Then no request with that key is answered 200 for 2 s
      When the operator writes the configuration again
      Then a request with another key soon gets 200
      And a request with that key soon gets 401

    Scenario: A router that starts in calm is ready at once
      # Guards against routers that are ready seconds later after each restart.
      Given a direct router
      When a new router takes its place
      Then it is ready within 1 s

    Scenario: A router records that the era has settled
      # Guards against a record that nobody writes, in the first era or after a
      # restore, so that all later starts wait.
      Given the system starts for the first time
      When a router starts
      Then it is ready within 1 s
      And the store soon has the record of its era
      When the platform restores the store from a copy without that record
      Then the store soon has the record of its era

    Scenario: A router starts where no router has recorded the era
      # Guards against a router that is never ready beside an older release.
      Given no router has recorded the era of the store
      When a router starts
      Then it is not ready within 2.5 s
      And it is ready within 2 s

  Rule: Watched entries belong to one era

    Background:
      Given a strict watcher of versions that has read version 7 in era 1

    Scenario Outline: Responses of another era are not applied to the entries
      # Guards against changes since a revision of another era.
      When <answer> of era <era> arrives
      Then the whole list is read next

      Examples:
        | answer     | era |
        | no change  | 2   |
        | a change   | 2   |
        | an error   | 2   |

    Scenario: A waiting call is cancelled when another one reports a new era
      # Guards against a watch that the store dropped without a response.
      When another watcher of the store observes era 2 during a call of 9 s
      Then the call ends within 1 s
      And the whole list is read next

    Scenario: A delayed list of the previous era is not applied
      # Guards against delayed responses.
      When another watcher of the store observes era 2
      And a list of era 1 arrives
      Then version 7 is known and not confirmed
      And the whole list is read next

    Scenario: An earlier version is neither applied nor confirmed
      # Guards against confirming keys by a superseded configuration.
      When a list of era 2 with version 5 arrives, and again 30 s later
      Then version 7 is known and not confirmed
      When version 9 is reported in era 2
      Then version 9 is known and confirmed

    Scenario: The same version confirms once lost writes can be repeated
      # Guards against missing a lost configuration that the router never read.
      When a list of era 2 with version 7 arrives
      Then version 7 is known and not confirmed
      When the watcher runs for 2.5 s more
      Then version 7 is known and confirmed

    Scenario: Two new eras are both detected
      # Guards against mistaking a second restore for the first one.
      When a list of era 2 with version 7 arrives
      And no change of era 3 arrives
      Then the whole list is read next

  Rule: One holder of the lease at a time, across restores

    Background:
      Given a store of objects in era 1

    Scenario: A lease that is free in the snapshot has to expire first
      # Guards against two routers that send orders alternately.
      Given router "a" held and released the lease before the snapshot
      And router "b" holds the lease
      When the platform restores the store from the snapshot
      Then router "a" acquires the lease after 2.2 s and not earlier
      And "a" assumes that another holder acted until the restore

    Scenario: A lease that is missing in the snapshot has to expire first
      # Guards against two routers that send orders alternately.
      Given router "b" holds a lease that is not in the snapshot
      And router "a" knows that it is held
      When the platform restores the store from the snapshot
      Then router "a" acquires the lease after 2.2 s and not earlier

    Scenario: The own lease in the snapshot has to expire first too
      # Guards against a holder that was replaced after the snapshot.
      Given router "a" held the lease before the snapshot and did not release it
      And router "b" holds the lease
      When the platform restores the store from the snapshot
      Then router "a" acquires the lease after 2.2 s and not earlier

    Scenario: A renewal at the same revision in a new era is not a lease
      # Guards against version checks that succeed by chance in a new era.
      Given router "b" holds the lease
      When the platform restores the store and another write has the same revision
      Then router "b" renews the lease and does not consider it held

    Scenario: A write without a response is not repeated in a new era
      # Guards against overwriting the lease of a new holder.
      Given router "b" holds the lease
      When the response to a renewal is lost and the store is restored
      Then router "b" does not hold the lease
      And the store has the record from the snapshot

    Scenario: Fencing numbers grow across restores
      # Guards against orders that upstreams reject as superseded.
      Given router "b" holds the lease
      When the platform restores the store from the snapshot twice and "b" acquires the lease
      Then each fencing number is higher than the one before

  Rule: Routers repeat their lost writes

    Background:
      Given a store of objects in era 1

    Scenario: Routers missing in the snapshot still count and write again
      # Guards against shares that grow while entries are missing.
      Given 3 routers counted each other after the snapshot
      When the platform restores the store from the snapshot
      Then each counts 3 routers while all write their entries again
      And the store has entries of 3 routers

    Scenario: Renewals count although versions went back
      # Guards against routers that count as terminated after a restore.
      Given 3 routers counted each other before the snapshot and renewed often
      When the platform restores the store from the snapshot
      Then each counts 3 routers for 60 s

    Scenario: Records of crashes are written again
      # Guards against admitting requests again that crash upstreams.
      Given a router that wrote a record of a crash after the snapshot
      When the platform restores the store from the snapshot
      Then the store has the record again
