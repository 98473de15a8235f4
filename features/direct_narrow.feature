Feature: A direct router on a link that a large configuration fills

  # Routers' links may carry 5 Mbit/s, and a configuration may grow to 1 MiB.

  Rule: A configuration that keeps arriving comes into force

    Background:
      Given a store with a configuration
      And plain upstreams "reg-1" and "reg-2"
      And keys that must be refused 5 s after they were taken away

    Scenario: A large change on a narrow link
      # Symptom: routers on narrow links never learn a configuration, refuse
      #   all keys, and their links are full of it for ever.
      # Sequence: a configuration grows; its answer takes longer than the
      #   time allowed for a call; each call is given up with most of its
      #   answer received, and the next begins with the first byte.
      # Cause: one limit on the whole of a transfer, whatever its size.
      Given a direct router
      And a caller with a key that keeps asking
      When the configuration grows by 3000 routes on a link that needs 2 s
      Then its last route is served within 6 s
      And no request with a key was refused meanwhile

    Scenario: A large configuration is the first that a router reads
      # Symptom, sequence and cause as above, at a start: the router never
      #   becomes ready.
      When the configuration grows by 3000 routes on a link that needs 2 s
      And a router starts on that link
      Then its last route is served within 6 s

    Scenario: Large changes that follow each other on a narrow link
      # Symptom: routers refuse keys for a moment though the store answers.
      # Sequence: a large change takes seconds to arrive; the next call waits
      #   its whole time; another large change follows.
      # Cause: the wait did not depend on what was confirmed.
      Given a direct router
      And a caller with a key that keeps asking
      When the configuration grows by 3000 routes on a link that needs 2 s
      Then its last route is served within 6 s
      And no request with a key was refused meanwhile
      When 1.0 s later it grows by one more route
      Then its last route is served within 6 s
      And no request with a key was refused meanwhile

    Scenario: A large answer that all others wait behind
      # Symptom: nothing but a configuration works while it arrives.
      # Sequence: its answer fills the queue before a narrow link; answers
      #   about upstreams, weights and the lease come seconds late.
      # Cause: a late answer was taken for a store that is away.
      Given engines "eng-1" and "eng-2"
      And a direct router
      And a caller with a key that keeps asking
      And a link that brings one answer after the other
      When the configuration grows by 3000 routes on a link that needs 2 s
      And new weights are named
      Then its last route is served within 6 s
      And the engines have the new weights within 2 s of that
      And no request with a key was refused meanwhile

    Scenario: A large answer that falls silent in its middle
      # Symptom: a router never learns a configuration.
      # Sequence: a connection falls silent without a reset in the middle of
      #   a large answer.
      # Cause: an answer that has begun is waited for without a limit.
      Given a direct router
      When the next answers fall silent after 100000 bytes
      And the configuration grows by 3000 routes on a link that needs 1 s
      And the answers are whole again after 2.5 s
      Then its last route is served within 4 s

    Scenario: Connections that break are no reason to read everything anew
      # Symptom: a router reads a large configuration again at every fault of
      #   the store, and its link is full meanwhile.
      # Sequence: waiting calls are cut; the whole collection is read.
      # Cause: a failed call made what was known count for nothing.
      Given a direct router
      When all connections to the store break 3 times
      Then the configuration was read once and is still confirmed

  Rule: The narrow link of the stand-in keeps its configured rate

    Scenario: Late wake-ups do not slow a narrow link
      # Guards against a lower link rate when the machine is under load.
      When an answer is sent on a link that needs 0.8 s with wake-ups 30 ms late
      Then sending the answer took at least 0.8 s and at most 1.5 s

    Scenario: A narrow link does not exceed its rate after an idle period
      # Guards against unused link capacity being carried over.
      When an answer is sent on a link that needs 0.4 s after 1 s of idle time
      Then sending the answer took at least 0.4 s and at most 1.1 s
