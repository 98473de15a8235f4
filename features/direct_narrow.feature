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
      When the configuration grows by 3000 routes on a link that needs 2 s
      Then its last route is served within 6 s
      And no request with a key was refused meanwhile

    Scenario: A large configuration is the first that a router reads
      # Symptom, sequence and cause as above, at a start: the router never
      #   becomes ready.
      When the configuration grows by 3000 routes on a link that needs 2 s
      And a router starts on that link
      Then its last route is served within 6 s
