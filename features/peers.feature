Feature: Processes share members and documents with their peers
  Each peer runs in this process with its own listener on loopback. Except
  where a scenario starts a platform, a peer knows only what its peers send.

  Scenario: A roll becomes active at all peers
    Given 12 peers
    When "p1" accepts version 1 of the bundle
    Then version 1 is active at all peers

  Scenario: Only the changed parts are fetched
    Given 4 peers
    When "p1" accepts version 1 with the parts "a" and "b"
    And version 1 is active at all peers
    And "p1" accepts version 2 with the parts "a" and "c"
    Then version 2 is active at all peers
    And part "a" was fetched 3 times and part "c" 3 times

  Scenario: A process that was disconnected catches up
    # Guards against a process that keeps an old bundle after it missed two
    # rolls while disconnected, because heads are sent only while they are new.
    Given 6 peers
    When peer "p4" is disconnected
    And "p1" accepts version 1 of the bundle
    And "p1" accepts version 2 of the bundle
    And version 2 is active at all peers but "p4"
    And the other peers have no pending updates
    And peer "p4" is reconnected
    Then version 2 is active at all peers

  Scenario: A stale peer reverts nothing
    # Guards against an older bundle that replaces an accepted one: a peer that
    # missed a roll offers its version, and it is accepted because it differs.
    Given 5 peers
    When "p1" accepts version 3 of the bundle
    And version 3 is active at all peers
    And a peer joins with version 2 of the bundle
    Then version 3 is active at all peers
    And no peer ever reverted to an earlier version

  Scenario: An older version is refused from every source
    # Guards against an older bundle that replaces an accepted one: it arrives
    # from a peer, the platform or an operator after a newer one became active,
    # and versions are compared only when a peer offers one.
    Given 2 peers
    When "p1" accepts version 3 of the bundle
    And "p1" is offered version 2 of the bundle
    Then version 3 is active at all peers
    And no peer ever reverted to an earlier version

  Scenario: Restarts of all processes but one keep the newest bundle
    # Guards against a fleet without a bundle, or with an old one, after all
    # processes but one restart during an outage of the platform, because a
    # starting process asks the platform only.
    Given 6 peers
    When "p1" accepts version 7 of the bundle
    And version 7 is active at all peers
    And all peers but "p3" restart
    Then version 7 is active at all peers

  Scenario: A process has the bundle of its peers before it serves
    # Guards against a process that starts during an outage of the platform
    # and serves without the bundle of the peer that it called, because it
    # waits for the peer's answer but not for the slower fetch of documents.
    Given 2 peers
    When "p1" accepts version 7 of the bundle
    And version 7 is active at all peers
    And each fetch is delayed by 200 ms
    And all peers but "p1" restart
    Then version 7 is active at all peers

  Scenario: Of two concurrent rolls the higher version becomes active
    Given 8 peers
    When "p2" accepts version 5 and "p7" version 6 of the bundle
    Then version 6 is active at all peers
    And no peer ever reverted to an earlier version

  Scenario: A document that validation refuses is not passed on
    # Guards against a bundle without sign-off becoming active at some
    # processes: one process accepts it through some fault and offers it, and
    # others offer what they fetched before they have validated it.
    Given 5 peers
    And "p1" does not validate bundles
    When "p1" accepts version 1 with the parts "right" and "text"
    And version 1 is active at all peers
    And "p1" accepts version 2 with the parts "wrong" and "text"
    And "p2" has fetched and refused part "wrong"
    And "p2" accepts version 3 with the parts "right" and "new"
    Then version 3 is active at all peers
    And only "p1" ever had version 2 active

  Scenario: A roll and a new member propagate despite lost messages
    Given 8 peers
    And a third of the messages are lost
    When "p1" accepts version 1 of the bundle
    And a new peer joins
    Then version 1 is active at all peers
    When no more messages are lost
    Then all 9 peers know each other

  Scenario: All peers declare a killed process dead
    Given 6 peers
    When peer "p5" is killed
    Then all agree that "p5" is dead
    And no peer lists the address of "p5" as an agent

  Scenario: A process that was only unreachable refutes the suspicion
    # Guards against a healthy process that gets no work until it restarts: it
    # was suspected while disconnected, and its refutation does not have a
    # higher revision than the suspicion.
    Given 6 peers
    When peer "p2" is disconnected
    And some peer suspects "p2"
    And peer "p2" is reconnected
    Then all agree that "p2" is alive

  Scenario: One broken path causes no suspicion
    # Guards against processes of two zones that suspect each other in turn
    # when only the path between two of them breaks, because a failed direct
    # call is enough for a suspicion.
    Given 6 peers
    When the path between "p1" and "p2" breaks
    And "p1" probes "p2" through other peers
    Then no peer suspects "p1" or "p2"

  Scenario: Both sides of a long partition reconnect
    # Guards against two regions that stay separate after a partition of an
    # hour: each has declared the other dead, and dead members are not called.
    Given 6 peers
    And no peer has a seed
    When "p1", "p2" and "p3" are partitioned until all declare the others dead
    And "p4" accepts version 1 of the bundle
    And the partition heals
    Then all 6 peers know each other
    And version 1 is active at all peers

  Scenario: A restarted process replaces its former record
    Given 4 peers
    When peer "p3" restarts
    Then all agree on the new address of "p3"

  Scenario: A process called before it joins becomes known by its address
    # Guards against a process that no peer calls and tables that are pulled
    # forever: a peer pulls the table of a process that listens but has not
    # joined, and the record gets an address without a new revision.
    Given peer "p1" listens and joins only after "p2" called it
    Then all 2 peers know each other
    And the tables of all peers are equal

  Scenario: A process announces to its peers that it is leaving
    Given 6 peers
    When peer "p2" is leaving
    Then all agree that "p2" is leaving

  Scenario: A roll reaches all peers through a few platform readers
    Given 12 peers in two regions and a platform
    When 2 peers watch the platform
    And version 1 of the bundle is written to the platform
    Then version 1 is active at all peers
    And the parts were read from the platform at most 2 times

  Scenario: Other processes replace readers that died
    # Guards against rolls that no longer become active after a rack failed
    # with all readers, because readers are chosen only once.
    Given 8 peers in two regions and a platform
    When 2 peers watch the platform
    And the peers that watch the platform are killed
    And version 1 of the bundle is written to the platform
    Then version 1 is active at all peers
    And 2 peers watch the platform

  Scenario: Simultaneous restarts leave a few readers
    Given 10 peers in two regions and a platform
    When version 1 of the bundle is written to the platform
    And all peers restart at once
    Then version 1 is active at all peers
    And 2 peers watch the platform

  Scenario: A roll continues to spread when the platform fails right after it
    Given 10 peers in two regions and a platform
    When 2 peers watch the platform
    And version 1 of the bundle is written to the platform
    And "p1" accepts version 2 of the bundle
    And the platform goes down for all peers
    Then version 2 is active at all peers

  Scenario: A process that no peer reaches reads from the platform itself
    # Guards against a router that keeps an old bundle while the platform is
    # available: its peers cannot reach it when a bundle is rolled, and only
    # the elected readers read from the platform.
    Given 6 peers in two regions and a platform
    When peer "p4" is disconnected
    And version 1 of the bundle is written to the platform
    Then version 1 is active at all peers

  Scenario: All peers receive the state of a VM in the VM list
    Given 8 peers in two regions and a platform
    When the VM list shows the VM of "p5" as live
    And the VM list shows the VM of "p5" as leaving
    Then each peer reports the VM of "p5" as leaving
    When the VM list shows the VM of "p5" as live
    Then each peer reports the VM of "p5" as live

  Scenario: Processes with slow event loops do not declare each other dead
    # Guards against counting time in which a process did not run as silence
    # of its peers.
    Given 8 peers in two regions and a platform
    When the same 2 peers have watched the platform for 0.5 s
    And each iteration of the event loop is delayed by 80 ms
    Then for 4 s no peer is declared dead and 2 peers watch the platform

  Scenario: After a blocked event loop no peer is dead and two still read
    # Guards against mistaking a stall of the process for isolation.
    Given 8 peers in two regions and a platform
    When the same 2 peers have watched the platform for 0.5 s
    And the event loop is blocked for 2 s
    Then for 2 s no peer is declared dead and 2 peers watch the platform

  Scenario: Processes with slow event loops declare a killed process dead
    # Guards against late wake-ups postponing failure detection indefinitely.
    Given 6 peers
    When each iteration of the event loop is delayed by 60 ms
    And peer "p5" is killed
    Then all agree that "p5" is dead
