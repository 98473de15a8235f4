@slow
Feature: A request is explained from log files

  A router process with fake upstreams and a fake store writes the log. Each
  scenario injects a fault and checks the cause that lacewingctl reports.

  Background:
    Given a store with a configuration
    And plain upstreams "reg-1" and "reg-2"
    And engines "eng-1" and "eng-2"
    And a direct router that logs to a file

  Scenario: A request that all upstreams refuse
    Given all upstreams shed
    When a caller orders a certificate
    Then explaining it shows status 503 and "were full"

  Scenario: A request that upstreams take no more of by their limits
    Given all upstreams name a limit of 1 request a second
    When a caller fetches records until one is refused
    Then explaining it shows status 503 and "2 take no more now by their limits"

  Scenario: A request beyond its team's limit
    When a caller of a team that may run 1 request a second sends several
    Then explaining it shows status 429 and "over the limit of 1 requests"

  Scenario: A request for the rest of a stream that is not known
    When a caller takes up a stream that no router knows
    Then explaining it shows status 503 and "takes up made-up"

  Scenario: An answer that is interrupted
    Given the next upstream reset
    When a caller orders a certificate
    Then explaining it shows status 502 and "broke off this one answer"

  Scenario: An upstream that interrupts several answers
    Given all upstreams reset their answers
    When a caller orders 6 certificates
    Then explaining it shows status 502 and "2 others failed there"

  Scenario: A request that crashes upstreams
    # After its request has crashed several upstreams, all routers block it,
    # and the caller is refused for minutes. The cause is found in the log
    # lines of the crashes, which contain the same request.
    Given 2 upstreams of "registry" that come back after a crash
    When callers send what crashes them to "/records/1" until 2 have crashed
    And it comes again to "/records/1" 1 time after 0 seconds
    Then explaining it shows status 503 and "2 upstreams had crashed under"

  Scenario: A part of prompts that crashes upstreams
    # A prompt that was never sent is refused: the crashes are those of other
    # prompts with one of its parts.
    Given 5 upstreams of "models" that come back after a crash
    And the part "bad" of prompts crashes upstreams
    When 4 different prompts "own,bad,last" come, one after the other
    Then explaining it shows status 503 and "upstreams had crashed under prompts with part-"

  Scenario: New weights that are not loaded
    # Engines that do not answer load orders keep superseded weights for a
    # long time. The cause is in the log of the router that holds the lease.
    Given engines that leave orders unanswered
    When new weights are named
    Then the log shows two unanswered orders for the same engine

  Scenario: A router that restarts in a loop
    When the router is killed and started 2 times
    Then the log shows 3 starts and no stop

  Scenario: An upstream that does not answer
    Given the next upstream mute
    When a caller orders a certificate
    Then explaining it shows status 504 and "answered nothing in"

  Scenario: A stream whose caller disconnects
    Given the next upstream stalls
    When a caller disconnects after the first event of a stream
    Then explaining it shows status 0 and "its own side"

  Scenario: An answer that takes longer than the router's drain
    # A stopped router ends a request whose answer takes longer than the
    # drain. Every ended request was attributed to the caller, so the log
    # claimed that the caller had left.
    Given a route with a long timeout
    And all upstreams hold their answers
    When the router is stopped during a request on that route
    Then explaining it shows status 502 and "was stopped at"

  Scenario: A store that does not answer
    When the store is silent
    Then a request with a key soon gets 503
    And explaining it shows status 503 and "too long to trust keys"

  Scenario: An engine that loads new weights
    Given a log file in which an engine refuses requests while it loads
    Then explaining it shows status 503 and "was loading weights 2"

  Scenario: A started stream for which no retry was left
    # Guards against a used-up retry budget that is shown as a full upstream.
    Given a log file of a started stream for which no retry was left
    Then explaining it shows status 0 and "the retry budget is used up"

  Scenario: A request at a router that lost power
    Given a log file in which the log of one of two routers ends early
    Then explaining an unlogged request fails and names that router

  Scenario: An upstream that answers twice
    # Guards against a log that doesn't tell an upstream that answers twice
    # from one that fails.
    Given upstreams send each answer twice, the second time late
    When a caller fetches records until an answer has come twice
    Then explaining it shows status 200 and "it answers twice, here request-"

  Scenario: An answer that names another request
    # Guards against a log that doesn't tell an answer that may be the
    # request's own from a connection that ended without an answer.
    Given the next upstream extra
    When a caller fetches a record
    Then explaining it shows status 200 and "but names another-request (200)"

  Scenario: An answer without a signature
    # Guards against a log that doesn't tell an answer without a signature
    # from a connection that ended without an answer.
    Given the next upstream unproven
    When a caller fetches a record
    Then explaining it shows status 200 and "answered 200 without a signature"

  Scenario: A stream that two upstreams had at once
    # Guards against a log that doesn't tell a run that is ended before it
    # goes on elsewhere from one that is not.
    Given a log file of a stream that two upstreams had at once
    Then explaining it shows status 200 and "eng-1 and eng-3 had the request at once for 150 ms."

  Scenario: A request without a log line
    Then explaining an unlogged request fails and hints at dropped lines
