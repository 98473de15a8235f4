Feature: The platform's object API and its client

  Background:
    Given a platform simulator

  Scenario Outline: Versions increase and only conditional updates succeed
    Given a store client of type "<client>"
    When the store creates "bundle/head" with "a"
    Then the call returns version 1
    When the store writes "bundle/head" with "b" expecting version 1
    Then the call returns version 2
    When the store writes "bundle/head" with "c" expecting version 1
    Then the call fails with "conflict"
    When the store creates "bundle/head" with "d"
    Then the call fails with "conflict"
    And "bundle/head" has the value "b" at version 2
    And the kind "bundle" lists "head" at version 2

    Examples:
      | client |
      | http   |
      | fake   |

  Scenario Outline: Versions of a name continue after a deletion
    # Guards against versions that restart after a deletion. A paused writer
    # reads version 1, the object is deleted and created again, and the writer
    # resumes and overwrites the new object, expecting version 1.
    Given a store client of type "<client>"
    When the store creates "lease/planner" with "a"
    And the store deletes "lease/planner" expecting version 1
    And the store creates "lease/planner" with "b"
    Then the call returns version 3
    When the store writes "lease/planner" with "late" expecting version 1
    Then the call fails with "conflict"

    Examples:
      | client |
      | http   |
      | fake   |

  Scenario Outline: A lost response is reported as unknown and resolved
    # Guards against treating a lost response as a failure. The write takes
    # effect, its response is lost and the writer retries: it gets a conflict
    # with its own change and fails, or applies the change twice.
    Given a store client of type "<client>"
    When the responses to the next 1 writes are lost
    And the store creates "claim/r1" with "a"
    Then the call fails with "unknown"
    And "claim/r1" has the value "a" at version 1
    When the responses to the next 1 writes are lost
    And the store writes "claim/r1" with "b" expecting version 1, with resolution
    Then the call returns version 2
    And "claim/r1" has the value "b" at version 2
    And the platform counts 2 applied writes and 2 calls to "put"

    Examples:
      | client |
      | http   |
      | fake   |

  Scenario Outline: A delayed write is not applied twice
    # Guards against a retry without the precondition of the first write. The
    # platform is slow, the client times out, reads the old version back and
    # writes again; then the first write takes effect. The change would be
    # applied twice, or attributed to another writer.
    Given a store client of type "http" that times out after 0.2 s
    When the platform adds a delay of 0.5 s to the next <slow> calls
    And the store creates "claim/r2" with "a", with resolution
    Then the call returns version 1
    And the platform eventually counts 1 applied writes

    Examples:
      | slow |
      | 1    |
      | 2    |
      | 3    |

  Scenario Outline: A lost response is resolved after writes of others
    # Guards against concluding from another value that the own write had no
    # effect. The write of a lease holder takes effect, its response is lost
    # and others write before it reads back: it would assume that it never
    # held the lease, although others acted on it.
    Given a store client of type "fake"
    When the store creates "lease/x" with "a"
    And a write expecting version 1 of "lease/x" gets no response and <then>
    Then the call fails with "<answer>"

    Examples:
      | then                                    | answer   |
      | takes effect and 1 others write after   | unknown  |
      | has no effect and 1 others write after  | conflict |
      | has no effect and 2 others write after  | unknown  |

  Scenario: The HTTP library never resends a write
    # Guards against writes on reused connections: libcurl resends a request on
    # its own if a reused connection breaks before the first byte of the
    # response. If the first request took effect, the second gets a conflict.
    Given a store client of type "http"
    When the store creates "claim/r3" with "a"
    And the store reads "claim/r3"
    And the responses to the next 1 writes are lost
    And the store writes "claim/r3" with "b" expecting version 1
    Then the call fails with "unknown"
    And the platform counts 2 applied writes and 2 calls to "put"

  Scenario Outline: Losses of responses are reproducible by seed
    Given a store client of type "<client>"
    When half of the responses are lost with seed 7
    And the store creates 20 objects
    Then 20 objects exist
    And the same responses of 20 are lost with seed 7 again

    Examples:
      | client |
      | http   |
      | fake   |

  Scenario Outline: An outage is distinguished from a lost response
    # Guards against one error for both. If the platform fails before or during
    # a call, a write would be retried although it was applied, or abandoned
    # although it was not sent.
    Given a store client of type "<client>"
    When the platform has an outage of type "<outage>"
    And the store creates "bundle/head" with "a"
    Then the call fails with "<write>"
    When the store reads "bundle/head"
    Then the call fails with "unavailable"
    When the outage ends
    And the store reads "bundle/head"
    Then the call fails with "not-found"

    Examples:
      | client | outage | write       |
      | http   | refuse | unavailable |
      | http   | drop   | unknown     |
      | http   | closed | unavailable |
      | fake   | refuse | unavailable |
      | fake   | drop   | unknown     |

  Scenario: A write that times out after it was sent is unknown
    # Guards against treating every timeout as "not applied". The platform
    # accepts the request but is slow, the client times out and the write takes
    # effect later: it would be retried although it was applied.
    Given a store client of type "http" that times out after 0.2 s
    When the platform adds a delay of 0.5 s to the next 1 calls
    And the store creates "bundle/head" with "a"
    Then the call fails with "unknown"
    And the platform eventually counts 1 applied writes

  Scenario: A write whose connection times out was not sent
    Given an HTTP store client for an address that accepts no connections
    When the store creates "bundle/head" with "a"
    Then the call fails with "unavailable"

  Scenario: A write that gets no slot was not sent
    # Guards against counting waiting callers instead of pending calls. All
    # slots are used by slow calls whose callers are cancelled; the HTTP
    # library continues these calls and queues the next one, so that a write
    # would wait behind them without a limit.
    Given an HTTP store client whose only slot is used by a write
    When the store creates "bundle/head" with "a"
    Then the call fails with "unavailable"
    When the pending write is cancelled
    And the store creates "bundle/head" with "a"
    Then the call fails with "unavailable"

  Scenario Outline: A lost response is resolved after an outage
    # Guards against using the "not applied" of an outage as the verdict of the
    # lost write. The write takes effect, its response is lost and an outage
    # follows: a roll would be reported as failed and be active later.
    Given a store client of type "<client>"
    When a response is lost and the next 3 reads fail in an outage
    And the store creates "bundle/head" with "a", with resolution
    Then the call returns version 1
    And the platform eventually counts 1 applied writes

    Examples:
      | client |
      | http   |
      | fake   |

  Scenario Outline: A watch continues after an outage
    # Guards against a watch that ends at its first error. The platform fails
    # and interrupts the watch, the bundle changes and the platform recovers:
    # the process would keep the old bundle permanently.
    Given a store client of type "<client>"
    And a watch of "bundle/head" after version 0
    When the store creates "bundle/head" with "a"
    Then the watch returns "a" at version 1
    When the platform has an outage of type "<outage>"
    Then the watch reports "unavailable"
    When another writer writes "b" and "c" to "bundle/head" meanwhile
    And the outage ends
    Then the watch eventually returns "c" at version 3
    When the store deletes "bundle/head" expecting version 3
    Then the watch reports "not-found"
    When the store creates "bundle/head" with "d"
    Then the watch returns "d" at version 5

    Examples:
      | client | outage |
      | http   | refuse |
      | http   | drop   |
      | http   | closed |
      | fake   | refuse |
      | fake   | drop   |

  Scenario Outline: Calls above the rate limit are refused without effect
    Given a store client of type "<client>"
    And the platform allows 2 writes and 2 reads per second
    When the store creates 3 objects
    Then the call fails with "rate-limited" and a retry delay of 1 s
    And 2 objects exist
    When the platform clock advances by 1 s
    And the store creates "other/x" with "a"
    Then the call returns version 1

    Examples:
      | client |
      | http   |
      | fake   |

  Scenario Outline: A pending watch counts as one read per second
    Given a store client of type "<client>"
    And the platform allows 2 writes and 2 reads per second
    And a watch of "bundle/head" after version 0
    When the platform clock advances by 9 s
    And the store reads "bundle/head"
    Then the call fails with "not-found"
    When the store reads "bundle/head"
    Then the call fails with "rate-limited" and a retry delay of 1 s

    Examples:
      | client |
      | http   |
      | fake   |

  Scenario: An abandoned watch does not count as reads
    # Guards against counting the watches of stopped processes: reads would be
    # refused although few watches are pending.
    Given a store client of type "http"
    And a watch of "bundle/head" after version 0
    When the store client is closed
    Then no watch is pending at the platform

  Scenario Outline: A value of more than a megabyte is refused
    Given a store client of type "<client>"
    When the store creates "bundle/big" with 1000000 bytes
    Then the call returns version 1
    When the store creates "bundle/bigger" with 1000001 bytes
    Then the call fails with "too-large"

    Examples:
      | client |
      | http   |
      | fake   |

  Scenario: An update without a precondition is refused
    When a client writes "bundle/head" without a precondition
    Then the platform returns status 428

  Scenario Outline: Names may contain any characters
    Given a store client of type "http"
    When the store creates "<path>" with "a"
    Then "<path>" has the value "a" at version 1

    Examples:
      | path                  |
      | kind/..               |
      | kind/../a b?c=%2F     |

  Scenario Outline: The VM list is delayed
    Given a store client of type "<client>"
    When the VM "vm-1" is registered as "live"
    Then the VM list is empty
    When the platform clock advances by 5 s
    Then the VM list shows "vm-1" as "live"
    When the VM "vm-1" is registered as "leaving"
    Then the VM list shows "vm-1" as "live"
    When the platform clock advances by 5 s
    Then the VM list shows "vm-1" as "leaving"
    When the VM "vm-1" is removed
    And the platform clock advances by 5 s
    Then the VM list is empty

    Examples:
      | client |
      | http   |
      | fake   |

  Scenario: Concurrent weight loads are counted
    When 3 workers load weights concurrently
    Then the platform counts 3 weight loads, 3 concurrent

  Scenario: The simulator runs as a process
    When the simulator is started as a process with a settings file
    Then it prints its listen address
    And its faults, VMs and counts can be set and read over HTTP
    And unknown fault switches are rejected with the field's name
    And it exits with code 0 on SIGTERM
