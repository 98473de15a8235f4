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
