Feature: A lease is kept on a slow link

  Time is simulated; a write takes effect when it is sent.

  Scenario: A renewal that is answered late needs no read
    # Guards against orders that are delayed by seconds: answers wait behind a
    # large one, the lease expires before its renewal is answered, and reading
    # it first takes as long again.
    Given router "a" holds a lease on a slow link
    When the answer to its next write takes 2.5 s
    Then router "a" still holds it after 2 writes and 0 reads

  Scenario: A holder that has lost the lease does not take it back
    # Guards against two holders: the lease expired, another router acquired
    # it, and the former one renews without reading.
    Given router "a" holds a lease on a slow link
    When it expires and router "b" takes it over
    Then router "a" does not get it back

  Scenario: The third of three holders that stop waits for the orders of the first
    # Guards against turns within the lease's duration: a holder that never
    # ordered wrote that nobody had, whoever had ordered before it.
    Given router "a" orders under the lease
    When router "a" stops, and router "b" after it without an order
    And router "c" wants to order
    Then its first order comes within the wait after the last one of "a"

  Scenario: Any chain of holders that stop keeps the time of the last order
    # Guards against turns within the lease's duration: the record of the lease
    # names the last holder, and not who ordered last.
    Then holders that stop one after the other never take turns too soon

  Scenario: A holder that is suspended during a renewal waits for its successor's orders
    # Guards against turns within the lease's duration: one call renews a
    # lease, finds it lost and acquires it again, and looks like a renewal.
    Given router "a" holds the lease and orders nothing
    When it is suspended during a renewal, and router "b" orders and stops
    And it resumes with an order due
    Then its first order comes within the wait after the last one of "b"

  Scenario: An order that was prepared before a suspension waits as well
    # Guards against turns within the lease's duration: the order was due
    # under an earlier hold of the lease, and is sent under a later one.
    Given router "a" waits for a report of the engine that it is to order
    When it is suspended during a renewal, and router "b" orders and stops
    And it resumes, and the report is answered
    Then its first order comes within the wait after the last one of "b"

  Scenario: A holder that does not learn of a restore may order until its lease ends
    # Guards against turns within the lease's duration: its successor counted
    # from the restore, and the holder ordered after it.
    Given router "a" holds the lease, and router "b" knows of it
    When no answer reaches "a" after a restore of the store, and it orders at last
    And router "b" takes the lease and orders
    Then its first order comes within the wait after the lease of "a" ends

  Scenario Outline: Records of an earlier release don't tell who acted before
    # Guards against turns within the lease's duration in a roll of all
    # routers: such a record leaves out the holders before its writer.
    Given router "a" orders under the lease
    When router "a" stops, and a router of an earlier release writes <record>
    And router "c" wants to order
    Then its first order comes within the wait after that record

    Examples:
      | record                                                                  |
      | {"holder": "", "nonce": "x", "duration_s": 1.8, "acted_ago_s": 3600}    |
      | {"holder": "", "nonce": "x", "duration_s": 1.8, "acted_ago_s": 2}       |
      | {"holder": "old", "nonce": "x", "duration_s": 1.8, "acted_ago_s": 3600} |
      | {"holder": "old", "nonce": "x", "duration_s": 1.8}                      |

  Scenario: Routers stop, die, are suspended and get no answers at random
    # Guards against turns within the lease's duration, and against holders
    # that never order again.
    Then holders with random faults never take turns too soon
