Feature: Slow responses to the platform client

  Background:
    Given a platform and a request timeout of 0.3 s
    And a client that allows one concurrent call

  Scenario: A response that keeps arriving is read completely
    # Guards against a limit on the total time of a transfer. A bundle, a plan
    # or a configuration that takes longer on a slow link is aborted, and each
    # retry starts at the first byte: it never arrives and saturates the link.
    When an object of 300000 bytes is sent at 300000 bytes per second
    Then it is read completely

  Scenario: A response that stalls is detected
    # Guards against waiting without a limit for a response that has started.
    # If the connection goes silent without a reset in the middle of a
    # response, the reader would wait for ever and receive no more updates.
    When an object of 300000 bytes stalls after 100000 bytes
    Then the read is aborted after 0.2 to 0.6 s
    And the error reports 90000 to 100000 received bytes
    And the next call succeeds immediately

  Scenario: A stall of the process does not abort a call
    # Guards against aborting a call whose response arrived during the stall
    # and has not been read yet.
    When an object of 600000 bytes is sent at 300000 bytes per second
    And the process stalls for 0.6 s after 0.3 s
    Then it is read completely

  Scenario: A call whose data is read at its last check is not aborted
    # Guards against aborting a call whose data was read but not delivered.
    When the first data of a call arrives in the iteration of its last check
    Then the call is not aborted

  Scenario: A response that trickles in is aborted
    # Guards against limiting only the time without data. A faulty connection
    # that delivers a few bytes now and then would occupy its slot for ever,
    # and all calls would wait for a slot although the platform responds to
    # others.
    When an object of 300000 bytes is sent in pieces of 100 bytes every 0.1 s
    Then the read is aborted after 0.2 to 1.0 s
    And the next call succeeds immediately

  Scenario: A cancelled read frees its slot
    # Guards against timeouts that only the waiting caller checks. If a caller
    # is cancelled while its response has stalled, its slot would stay occupied
    # and all calls would wait for a slot.
    When an object of 300000 bytes stalls after 100000 bytes
    And its reader is cancelled after 0.1 s
    Then the next call succeeds within 0.6 s

  Scenario: A write whose response stalls may have taken effect
    When an object of 300000 bytes stalls after 100000 bytes
    And it is written
    Then the write's effect is unknown

  Scenario: A large request body extends the timeout
    # Guards against counting the upload of the body in the time to the first
    # byte. A large object on a slow link takes longer than the timeout: it
    # could not be written, and the result would be unknown to the writer.
    When an object of 131072 bytes is written and acknowledged after 1.0 s
    Then it is acknowledged

  Scenario: Closing a client with a pending call cancels its timer
    # Guards against a timer that outlives its client. A process that
    # terminates closes the client while a call is pending; when the timer of
    # that call expires later, an error about a closed client is logged.
    When an object of 300000 bytes stalls after 100000 bytes
    And the client is closed during a read
    Then no error is reported within 0.8 s
