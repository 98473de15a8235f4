Feature: A request is explained from log files

  The log is that of a real router process in front of stand-ins. A fault is
  injected, and its cause is found by the command that operators use.

  Background:
    Given a store with a configuration
    And plain upstreams "reg-1" and "reg-2"
    And engines "eng-1" and "eng-2"
    And a direct router that logs to a file

  Scenario: A request that no upstream took
    Given all upstreams shed
    When a caller orders a certificate
    Then explaining it names status 503 and "were full"

  Scenario: An answer that was broken off
    Given the next upstream reset
    When a caller orders a certificate
    Then explaining it names status 502 and "broke off this one answer"

  Scenario: An upstream that spoils one answer after the other
    Given all upstreams reset their answers
    When a caller orders 6 certificates
    Then explaining it names status 502 and "2 others failed there"

  Scenario: A request that crashes upstreams
    # Symptom: a caller is refused at once, for minutes.
    # Sequence: upstreams crash under its request; all routers block it.
    # Cause: found in the lines of the crashes, by what asks the same.
    Given 2 upstreams of "registry" that come back after a crash
    When callers send what crashes them to "/records/1" until 2 have crashed
    And it comes again to "/records/1" 1 time after 0 seconds
    Then explaining it names status 503 and "2 upstreams had crashed under"

  Scenario: New weights that do not arrive
    # Symptom: answers come from old weights for long.
    # Sequence: engines leave orders unanswered.
    # Cause: found in the lines of the router that holds the lease.
    Given engines that leave orders unanswered
    When new weights are named
    Then the log tells of an order that got no answer, twice for one engine

  Scenario: A router that restarts in a loop
    When the router is killed and started 2 times
    Then the log tells of 3 starts and no stop

  Scenario: An upstream that answers nothing
    Given the next upstream mute
    When a caller orders a certificate
    Then explaining it names status 504 and "answered nothing in"

  Scenario: A stream whose caller left
    Given the next upstream stalls
    When a caller talks to a model and leaves after the first event
    Then explaining it names status 0 and "its own side"

  Scenario: An answer that took longer than the router's stop
    # Symptom: a line says that the caller left; the caller says it did not.
    # Sequence: a router is stopped; an answer takes longer than the time
    #   to stop; the router closes its connection.
    # Cause: each end of a caller's connection was taken for the caller's.
    Given a route on which answers may take long
    And all upstreams hold their answers
    When a caller asks on it while the router is stopped
    Then explaining it names status 0 and "was stopped at"

  Scenario: A store that does not answer
    When the store is silent
    Then a request with a key soon gets 503
    And explaining it names status 503 and "too long to trust keys"

  Scenario: An engine that loads new weights
    Given a log file in which an engine refuses while it loads
    Then explaining it names status 503 and "was loading weights 2"

  Scenario: A request at a router that lost its power
    Given a log file in which one of two routers falls silent
    Then explaining another request fails and names the silent router

  Scenario: A request without a line
    Then explaining another request fails and says where to look
