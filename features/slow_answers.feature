Feature: The system's client of the platform and answers that arrive slowly

  Background:
    Given a platform whose calls begin to be answered within 0.3 s
    And a client with room for one call

  Scenario: An answer that keeps arriving is read whole
    # Symptom: a bundle, a plan or a configuration never arrives on a narrow
    #   link, which is full of it for ever.
    # Sequence: its answer takes longer than the time allowed for a call; the
    #   call is given up, and the next begins with the first byte.
    # Cause: one limit on the whole of a transfer, whatever its size.
    When an object of 300000 bytes comes at 300000 bytes a second
    Then it is read whole

  Scenario: An answer that falls silent in its middle is noticed
    # Symptom: a reader waits for ever and learns nothing more.
    # Sequence: a connection goes silent without a reset in the middle of an
    #   answer.
    # Cause: an answer that had begun was waited for without a limit.
    When an object of 300000 bytes falls silent after 100000 bytes
    Then the read is given up after 0.2 to 0.6 s
    And the error tells of 90000 to 100000 bytes
    And the next call has room at once

  Scenario: A stall of the process does not end a call
    # Guards against giving up an answer that arrived during the stall and has
    # not been read yet.
    When an object of 600000 bytes comes at 300000 bytes a second
    And the process stalls for 0.6 s after 0.3 s
    Then it is read whole

  Scenario: A call whose data is read at its last check is not given up
    # Guards against giving up a call whose data was read but not delivered.
    When a call gets its first data in the iteration of its last check
    Then the call is not given up

  Scenario: A trickle does not hold a call for ever
    # Symptom: all calls wait for room though the platform answers others.
    # Sequence: a broken connection gives a few bytes now and then, and is
    #   never silent for long.
    # Cause: only silence was bounded.
    When an object of 300000 bytes comes in pieces of 100 bytes each 0.1 s
    Then the read is given up after 0.2 to 1.0 s
    And the next call has room at once

  Scenario: A reader that leaves in the middle gives its room back
    # Symptom: all calls wait for room though nobody reads any more.
    # Sequence: a caller is cancelled while its answer has fallen silent.
    # Cause: only the caller that waited looked at the time.
    When an object of 300000 bytes falls silent after 100000 bytes
    And its reader leaves after 0.1 s
    Then the next call has room within 0.6 s

  Scenario: A write whose answer falls silent may have taken effect
    When an object of 300000 bytes falls silent after 100000 bytes
    And it is written
    Then the write's effect is unknown

  Scenario: A large body has time to leave
    # Symptom: a large object can't be written over a narrow link; the writer
    #   can't tell whether it was.
    # Sequence: the body needs longer than the time allowed for a call.
    # Cause: the time for the answer to begin counted the body's way.
    When an object of 131072 bytes is written and acknowledged after 1.0 s
    Then it is acknowledged

  Scenario: A client that is closed with a call under way leaves nothing
    # Symptom: a process that ends logs an error about a closed client.
    # Sequence: it closes its client while an answer is awaited; the time of
    #   that call is over later.
    # Cause: the timer of the call outlived the client.
    When an object of 300000 bytes falls silent after 100000 bytes
    And the client is closed during a read
    Then nothing fails within 0.8 s
