Feature: The platform's object API through the system's client

  Background:
    Given a platform stand-in

  Scenario Outline: Versions grow and only conditional updates pass
    Given a store over "<face>"
    When the store creates "bundle/head" with "a"
    Then the store answers with version 1
    When the store writes "bundle/head" with "b" upon version 1
    Then the store answers with version 2
    When the store writes "bundle/head" with "c" upon version 1
    Then the store answers "conflict"
    When the store creates "bundle/head" with "d"
    Then the store answers "conflict"
    And "bundle/head" holds "b" at version 2
    And the kind "bundle" lists "head" at version 2

    Examples:
      | face |
      | http |
      | fake |

  Scenario Outline: A name keeps its versions after a delete
    # Symptom: a paused writer overwrites an object that is not the one it
    # read. Sequence: it reads version 1, the object is deleted and created
    # again, it wakes and writes upon version 1. Cause: versions that start
    # anew after a delete.
    Given a store over "<face>"
    When the store creates "lease/planner" with "a"
    And the store deletes "lease/planner" upon version 1
    And the store creates "lease/planner" with "b"
    Then the store answers with version 3
    When the store writes "lease/planner" with "late" upon version 1
    Then the store answers "conflict"

    Examples:
      | face |
      | http |
      | fake |

  Scenario Outline: A lost answer is unknown and is read back
    # Symptom: a writer meets a conflict with its own change and gives up or
    # does it twice. Sequence: the write takes effect, its answer is lost,
    # the writer repeats it. Cause: a lost answer taken for a failure.
    Given a store over "<face>"
    When the answers of the next 1 writes get lost
    And the store creates "claim/r1" with "a"
    Then the store answers "unknown"
    And "claim/r1" holds "a" at version 1
    When the answers of the next 1 writes get lost
    And the store writes "claim/r1" with "b" upon version 1, resolving
    Then the store answers with version 2
    And "claim/r1" holds "b" at version 2
    And the platform counts 2 effects and 2 calls to "put"

    Examples:
      | face |
      | http |
      | fake |

  Scenario Outline: A write under way is not done twice
    # Symptom: a change is in force twice, or its writer takes its own late
    # change for another writer's. Sequence: the platform is slow, the client
    # times out and reads back the old version, writes again, and the first
    # write lands. Cause: a retry without the first write's condition.
    Given a store over "http" that times out after 0.2 s
    When the platform is slow by 0.5 s for the next <slow> calls
    And the store creates "claim/r2" with "a", resolving
    Then the store answers with version 1
    And the platform counts 1 effects in the end

    Examples:
      | slow |
      | 1    |
      | 2    |
      | 3    |

  Scenario Outline: A lost answer is judged by what others wrote since
    # Symptom: a lease holder believes that it never held the lease, although
    # others acted upon it. Sequence: its write takes effect, the answer is
    # lost, others write before it reads back. Cause: "another value is
    # there" taken for "my write had no effect".
    Given a store over "fake"
    When the store creates "lease/x" with "a"
    And a write upon version 1 of "lease/x" goes unanswered and <then>
    Then the store answers "<answer>"

    Examples:
      | then                                    | answer   |
      | takes effect and 1 others write after   | unknown  |
      | has no effect and 1 others write after  | conflict |
      | has no effect and 2 others write after  | unknown  |

  Scenario: A write is never sent again by the HTTP library
    # Symptom: a conflict for a write that took effect. Sequence: the client
    # keeps a connection, writes on it, the connection breaks after the
    # effect and libcurl repeats the request by itself. Cause: libcurl resends
    # on a kept connection that broke before the first byte of the answer.
    Given a store over "http"
    When the store creates "claim/r3" with "a"
    And the store reads "claim/r3"
    And the answers of the next 1 writes get lost
    And the store writes "claim/r3" with "b" upon version 1
    Then the store answers "unknown"
    And the platform counts 2 effects and 2 calls to "put"

  Scenario Outline: A seeded share of answers gets lost alike in each run
    Given a store over "<face>"
    When half the answers get lost with seed 7
    And the store creates 20 objects
    Then 20 objects exist
    And the same answers of 20 get lost with seed 7 again

    Examples:
      | face |
      | http |
      | fake |

  Scenario Outline: An outage is told apart from a lost answer
    # Symptom: a write is repeated although it ran, or given up although it
    # never left. Sequence: the platform goes down before or during a call.
    # Cause: one error for both.
    Given a store over "<face>"
    When the platform goes down by "<way>"
    And the store creates "bundle/head" with "a"
    Then the store answers "<write>"
    When the store reads "bundle/head"
    Then the store answers "unavailable"
    When the platform is up again
    And the store reads "bundle/head"
    Then the store answers "not-found"

    Examples:
      | face | way    | write       |
      | http | refuse | unavailable |
      | http | drop   | unknown     |
      | http | closed | unavailable |
      | fake | refuse | unavailable |
      | fake | drop   | unknown     |

  Scenario: A write that times out after it was sent is unknown
    # Symptom: a write is repeated although it ran. Sequence: the platform
    # takes the request and is slow, the client times out, the write lands.
    # Cause: every timeout taken for "not done".
    Given a store over "http" that times out after 0.2 s
    When the platform is slow by 0.5 s for the next 1 calls
    And the store creates "bundle/head" with "a"
    Then the store answers "unknown"
    And the platform counts 1 effects in the end

  Scenario: A write whose connection times out never left
    Given a store over http to an address that takes no connection
    When the store creates "bundle/head" with "a"
    Then the store answers "unavailable"

  Scenario: A write that finds no room never left
    # Symptom: a write waits without bound behind slow ones. Sequence: all
    # room for calls is taken by slow calls, whose callers give up; the HTTP
    # library goes on with them and queues the next call. Cause: room counted
    # by waiting callers instead of by calls under way.
    Given a store over http with room for one call, held by a write
    When the store creates "bundle/head" with "a"
    Then the store answers "unavailable"
    When the caller of the held write gives up
    And the store creates "bundle/head" with "a"
    Then the store answers "unavailable"

  Scenario Outline: A lost answer is resolved across an outage
    # Symptom: a roll is reported as failed, and is in force later. Sequence:
    # the write takes effect, the answer is lost, the platform goes down for a
    # while. Cause: the outage's "not done" taken as the lost write's verdict.
    Given a store over "<face>"
    When an answer gets lost and an outage follows for the next 3 reads
    And the store creates "bundle/head" with "a", resolving
    Then the store answers with version 1
    And the platform counts 1 effects in the end

    Examples:
      | face |
      | http |
      | fake |

  Scenario Outline: A watch goes on after an outage
    # Symptom: a process stays on an old bundle for good. Sequence: it
    # watches, the platform goes down and cuts the watch, the bundle changes,
    # the platform comes back. Cause: a watch that ends at its first error.
    Given a store over "<face>"
    And a watch of "bundle/head" after version 0
    When the store creates "bundle/head" with "a"
    Then the watch shows "a" at version 1
    When the platform goes down by "<way>"
    Then the watch shows "unavailable"
    When another writer writes "b" and "c" to "bundle/head" meanwhile
    And the platform is up again
    Then the watch shows "c" at version 3 in the end
    When the store deletes "bundle/head" upon version 3
    Then the watch shows "not-found"
    When the store creates "bundle/head" with "d"
    Then the watch shows "d" at version 5

    Examples:
      | face | way    |
      | http | refuse |
      | http | drop   |
      | http | closed |
      | fake | refuse |
      | fake | drop   |

  Scenario Outline: Calls above the rate are refused without effect
    Given a store over "<face>"
    And the platform allows 2 writes and 2 reads a second
    When the store creates 3 objects
    Then the store answers "rate-limited" with the advice to wait 1 s
    And 2 objects exist
    When 1 s passes on the platform
    And the store creates "other/x" with "a"
    Then the store answers with version 1

    Examples:
      | face |
      | http |
      | fake |

  Scenario Outline: A waiting watch takes one read from each second
    Given a store over "<face>"
    And the platform allows 2 writes and 2 reads a second
    And a watch of "bundle/head" after version 0
    When 9 s passes on the platform
    And the store reads "bundle/head"
    Then the store answers "not-found"
    When the store reads "bundle/head"
    Then the store answers "rate-limited" with the advice to wait 1 s

    Examples:
      | face |
      | http |
      | fake |

  Scenario: A watch that is given up no longer counts
    # Symptom: reads are refused although few watches wait. Sequence: a
    # process with a watch stops. Cause: the platform went on counting it.
    Given a store over "http"
    And a watch of "bundle/head" after version 0
    When the store closes
    Then no watch waits on the platform

  Scenario Outline: A value of more than a megabyte is refused
    Given a store over "<face>"
    When the store creates "bundle/big" with 1000000 bytes
    Then the store answers with version 1
    When the store creates "bundle/bigger" with 1000001 bytes
    Then the store answers "too-large"

    Examples:
      | face |
      | http |
      | fake |

  Scenario: An update without a condition is refused
    When a client without a condition writes "bundle/head"
    Then the platform answers it with status 428

  Scenario Outline: Names may hold any characters
    Given a store over "http"
    When the store creates "<path>" with "a"
    Then "<path>" holds "a" at version 1

    Examples:
      | path                  |
      | kind/..               |
      | kind/../a b?c=%2F     |

  Scenario Outline: The VM list lags
    Given a store over "<face>"
    When the VM "vm-1" is registered as "live"
    Then the VM list shows nothing
    When 5 s passes on the platform
    Then the VM list shows "vm-1" as "live"
    When the VM "vm-1" is registered as "leaving"
    Then the VM list shows "vm-1" as "live"
    When 5 s passes on the platform
    Then the VM list shows "vm-1" as "leaving"
    When the VM "vm-1" is removed
    And 5 s passes on the platform
    Then the VM list shows nothing

    Examples:
      | face |
      | http |
      | fake |

  Scenario: Weight loads at once are counted
    When 3 workers load weights at once
    Then the platform counts 3 weight loads, 3 at once

  Scenario: The stand-in runs as a process
    When the stand-in starts as a process with a settings file
    Then it says where it listens
    And its faults, VMs and counts can be set and read over HTTP
    And wrong fault switches are refused with the field's name
    And it ends with code 0 when told to stop
