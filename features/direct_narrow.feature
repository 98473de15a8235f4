Feature: A direct router on a link saturated by a large configuration

  # Routers' links may carry 5 Mbit/s, and a configuration may grow to 1 MiB.

  Rule: A configuration that arrives slowly becomes active

    Background:
      Given a store with a configuration
      And plain upstreams "reg-1" and "reg-2"
      And keys that must be refused 5 s after they were revoked

    Scenario: A large change on a narrow link
      # Guards against a router that never receives a configuration, refuses
      # all keys and saturates its link. If one time limit applied to a whole
      # call whatever its size, a large answer would be abandoned before its
      # end, and the next call would start again with the first byte.
      Given a direct router
      And a caller with a key that sends requests continuously
      When the configuration grows by 3000 routes on a link that needs 2 s
      Then its last route is served within 6 s
      And no request with a key was refused meanwhile

    Scenario: A router starts on a narrow link with a large configuration
      # Guards against a router that never becomes ready, for the same reason
      # as above.
      When the configuration grows by 3000 routes on a link that needs 2 s
      And a router starts on that link
      Then its last route is served within 6 s

    Scenario: Large changes that follow each other on a narrow link
      # Guards against refusing keys for a moment though the store answers. A
      # large change takes seconds to arrive; the next call waits its whole
      # time, and another large change follows. So the wait of a call must
      # depend on what is confirmed.
      Given a direct router
      And a caller with a key that sends requests continuously
      When the configuration grows by 3000 routes on a link that needs 2 s
      Then its last route is served within 6 s
      And no request with a key was refused meanwhile
      When 1.0 s later it grows by one more route
      Then its last route is served within 6 s
      And no request with a key was refused meanwhile

    Scenario: A large answer that all others wait behind
      # Guards against a router that cannot do anything while a configuration
      # arrives. The answer fills the queue of a narrow link, and answers about
      # upstreams, weights and the lease arrive seconds late; a late answer
      # does not mean that the store is unreachable.
      Given engines "eng-1" and "eng-2"
      And a direct router
      And a caller with a key that sends requests continuously
      And a link that sends one answer at a time
      When the configuration grows by 3000 routes on a link that needs 2 s
      And new weights are named
      Then its last route is served within 6 s
      And the engines have the new weights within 2 s of that
      And no request with a key was refused meanwhile

    Scenario: A large answer that stops before its end
      # Guards against a router that never receives a configuration because a
      # connection becomes silent without a reset during a large answer, and an
      # answer that has started is awaited without a limit.
      Given a direct router
      When the next answers stop after 100000 bytes without a reset
      And the configuration grows by 3000 routes on a link that needs 1 s
      And the answers are complete again after 2.5 s
      Then its last route is served within 4 s

    Scenario: Broken connections do not cause a reread of the collection
      # Guards against a link saturated by rereading a large configuration at
      # every fault of the store: a failed watch must not invalidate the cached
      # entries.
      Given a direct router
      When all connections to the store break 3 times
      Then the configuration was read once and is still confirmed

  Rule: The narrow link of the fake store keeps its configured rate

    Scenario: Late wake-ups do not slow a narrow link
      # Guards against a lower link rate when the machine is under load.
      When an answer is sent on a link that needs 0.8 s with wake-ups 30 ms late
      Then sending the answer took at least 0.8 s and at most 1.5 s

    Scenario: A narrow link does not exceed its rate after an idle period
      # Guards against unused link capacity being carried over.
      When an answer is sent on a link that needs 0.4 s after 1 s of idle time
      Then sending the answer took at least 0.4 s and at most 1.1 s
