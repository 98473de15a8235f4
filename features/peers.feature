Feature: Processes share members and documents with each other
  Each peer runs in this process with a listener of its own on loopback. No
  platform is there: all that a peer knows came from another.

  Scenario: A roll comes into force everywhere
    Given 12 peers
    When "p1" takes version 1 of the bundle
    Then version 1 is in force at all peers

  Scenario: Only the parts that changed are fetched
    Given 4 peers
    When "p1" takes version 1 with the parts "a" and "b"
    And version 1 is in force at all peers
    And "p1" takes version 2 with the parts "a" and "c"
    Then version 2 is in force at all peers
    And part "a" was fetched 3 times and part "c" 3 times

  Scenario: A process that was cut off catches up
    # Symptom: one process serves by an old bundle for good.
    # Sequence: it is cut off, two rolls pass, the path comes back.
    # Cause: the new head is only told when it is new.
    Given 6 peers
    When peer "p4" is cut off
    And "p1" takes version 1 of the bundle
    And "p1" takes version 2 of the bundle
    And version 2 is in force at all peers but "p4"
    And the others have stopped telling of it
    And peer "p4" is back
    Then version 2 is in force at all peers

  Scenario: A stale peer reverts nothing
    # Symptom: an accepted bundle is in force, then an older one again.
    # Sequence: a peer that missed a roll offers what it holds.
    # Cause: what a peer offers is taken because it differs.
    Given 5 peers
    When "p1" takes version 3 of the bundle
    And version 3 is in force at all peers
    And a peer joins that holds version 2 of the bundle
    Then version 3 is in force at all peers
    And no peer ever went back to an earlier version

  Scenario: An older version is not taken, wherever it comes from
    # Symptom: an accepted bundle is in force, then an older one again.
    # Sequence: while an old version is on its way, from a peer, from the
    # platform or an operator's hand, a newer one comes into force.
    # Cause: the version is compared only when the offer is heard.
    Given 2 peers
    When "p1" takes version 3 of the bundle
    And "p1" is given version 2 of the bundle
    Then version 3 is in force at all peers
    And no peer ever went back to an earlier version

  Scenario: Restarts of all but one keep the newest bundle
    # Symptom: after restarts in an outage of the platform the fleet has no
    # bundle, or an old one.
    # Sequence: the platform is away, all processes but one start again.
    # Cause: a cold process asks the platform only.
    Given 6 peers
    When "p1" takes version 7 of the bundle
    And version 7 is in force at all peers
    And all peers but "p3" start again
    Then version 7 is in force at all peers

  Scenario: A process has its peers' bundle before it serves
    # Symptom: a process that starts in an outage of the platform has no
    #   bundle, though the peer that it asked has one.
    # Sequence: documents take longer than what peers tell of each other.
    # Cause: a start waited for what was told alone, not for what is fetched.
    Given 2 peers
    When "p1" takes version 7 of the bundle
    And version 7 is in force at all peers
    And a fetch takes 200 ms longer
    And all peers but "p1" start again
    Then version 7 is in force at all peers

  Scenario: Two rolls at once end with the higher number everywhere
    Given 8 peers
    When "p2" takes version 5 and "p7" version 6 of the bundle
    Then version 6 is in force at all peers
    And no peer ever went back to an earlier version

  Scenario: What a guard refuses is not passed on
    # Symptom: a bundle that nobody signed off is in force at some processes.
    # Sequence: one process takes it, for whatever fault, and offers it.
    # Cause: a process offers what it has fetched before it has checked it.
    Given 5 peers
    And "p1" checks no sign-off
    When "p1" takes version 1 with the parts "right" and "text"
    And version 1 is in force at all peers
    And "p1" takes version 2 with the parts "wrong" and "text"
    And "p2" has fetched and refused part "wrong"
    And "p2" takes version 3 with the parts "right" and "new"
    Then version 3 is in force at all peers
    And only "p1" ever had version 2 in force

  Scenario: A roll and a new member pass through lost messages
    Given 8 peers
    And a third of the messages are lost
    When "p1" takes version 1 of the bundle
    And a new peer joins
    Then version 1 is in force at all peers
    When no more messages are lost
    Then all 9 peers know each other

  Scenario: A process that died is dead to all
    Given 6 peers
    When peer "p5" is killed
    Then all agree that "p5" is dead
    And no peer gives the address of "p5" to its role

  Scenario: A process that was only silent refutes the suspicion
    # Symptom: a healthy process gets no work until it restarts.
    # Sequence: it is cut off until it is suspected, then comes back.
    # Cause: a suspicion is not contradicted with a higher revision.
    Given 6 peers
    When peer "p2" is cut off
    And some peer suspects "p2"
    And peer "p2" is back
    Then all agree that "p2" is alive

  Scenario: One broken path makes nobody suspect
    # Symptom: processes of two zones suspect each other by turns.
    # Sequence: the path between two of them breaks, all others work.
    # Cause: a peer is suspected on the word of one.
    Given 6 peers
    When the path between "p1" and "p2" breaks
    And "p1" tries "p2" through others
    Then nobody suspects "p1" or "p2"

  Scenario: Two halves that lost each other meet again
    # Symptom: after an hour without each other two regions stay apart.
    # Sequence: each half finds the other dead, the path comes back.
    # Cause: nobody calls the dead.
    Given 6 peers
    And no seed is known to anybody
    When "p1", "p2" and "p3" lose the others until they think them dead
    And "p4" takes version 1 of the bundle
    And the halves can hear each other again
    Then all 6 peers know each other
    And version 1 is in force at all peers

  Scenario: A restarted process takes over its name
    Given 4 peers
    When peer "p3" starts again
    Then all agree on the new address of "p3"

  Scenario: A process asked before it has joined is known by its address
    # Symptom: a process is called by nobody; tables are pulled for ever.
    # Sequence: a peer pulls its table while it listens but has not joined.
    # Cause: its record changed its address and kept its revision.
    Given peer "p1" listens and joins only after "p2" asked it
    Then all 2 peers know each other
    And the tables of all peers are equal

  Scenario: A process tells the others that it is leaving
    Given 6 peers
    When peer "p2" is leaving
    Then all agree that "p2" is leaving

  Scenario: A roll reaches all through a few that read from the platform
    Given 12 peers in two regions and a platform
    When 2 peers watch the platform
    And version 1 of the bundle is written to the platform
    Then version 1 is in force at all peers
    And the parts were read from the platform at most 2 times

  Scenario: Others take over from readers that died
    # Symptom: after a rack went, no roll comes into force any more.
    # Sequence: all readers die, a bundle is rolled.
    # Cause: the readers are chosen once.
    Given 8 peers in two regions and a platform
    When 2 peers watch the platform
    And the peers that watch the platform are killed
    And version 1 of the bundle is written to the platform
    Then version 1 is in force at all peers
    And 2 peers watch the platform

  Scenario: A herd of restarts leaves a few readers
    Given 10 peers in two regions and a platform
    When version 1 of the bundle is written to the platform
    And all peers start again at once
    Then version 1 is in force at all peers
    And 2 peers watch the platform

  Scenario: A roll goes on spreading when the platform is lost at once
    Given 10 peers in two regions and a platform
    When 2 peers watch the platform
    And version 1 of the bundle is written to the platform
    And "p1" takes version 2 of the bundle
    And the platform goes down for all peers
    Then version 2 is in force at all peers

  Scenario: A process that no peer reaches reads for itself
    # Symptom: a router serves by an old bundle while the platform is up.
    # Sequence: its peers cannot reach it, a bundle is rolled.
    # Cause: only the chosen readers ask the platform.
    Given 6 peers in two regions and a platform
    When peer "p4" is cut off
    And version 1 of the bundle is written to the platform
    Then version 1 is in force at all peers

  Scenario: All hear what the VM list says of a VM
    Given 8 peers in two regions and a platform
    When the VM list shows the VM of "p5" as live
    And the VM list shows the VM of "p5" as leaving
    Then the role of each peer hears that the VM of "p5" is leaving
    When the VM list shows the VM of "p5" as live
    Then the role of each peer hears that the VM of "p5" is live

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
