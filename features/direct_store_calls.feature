Feature: Calls to the store are few and accounted for

  All routers share what the store answers a second, and each call has its
  price. Time is the scenario's.

  Rule: Calls are counted by what they ask and why

    Scenario: A follower tells why it calls
      # Symptom: routers call the store several times a second, and nobody
      #   can tell what for.
      # Sequence: collections change, waits end empty, calls fail.
      # Cause: calls were not counted.
      Given a follower of "upstreams" whose calls are counted
      When it reads, waits in vain, is told a change and loses the next call
      Then these calls were counted
        | subject   | reason  | calls |
        | upstreams | read    | 1     |
        | upstreams | quiet   | 2     |
        | upstreams | change  | 1     |
        | upstreams | failure | 1     |

    Scenario: Calls for the system's own objects are told apart by their price
      Given a store of own objects whose calls are counted
      When an object is written, read, looked at cheaply and removed
      Then these calls were counted
        | subject | reason | calls |
        | leases  | write  | 2     |
        | leases  | get    | 1     |
        | leases  | peek   | 1     |
        | routers | peek   | 1     |

    Scenario: A line tells the calls since the last one
      Given a store of own objects whose calls are counted
      When an object is written, read, looked at cheaply and removed
      And the counts are logged twice
      Then one line tells 5 calls

  Rule: A series of changes takes few calls

    Scenario: Engines load new weights and some of them are replaced
      # Symptom: calls that follow changes of upstreams are the largest part
      #   of all calls to the store, and grow with engines times routers.
      # Sequence: 39 engines load two versions and a third of them crash;
      #   each of these changes an entry; every router calls after each.
      # Cause: a router waited 0.2 s for further changes.
      Given entries of upstreams that change 3 times a second for 30 seconds
      When a router follows them
      Then it makes at most 2.0 calls a second
      And it knows of each change within 0.6 seconds

    Scenario: A single change after a quiet time is known at once
      Given entries of upstreams that change once after 5 seconds
      When a router follows them
      Then it knows of each change within 0.1 seconds

  Rule: While the store is away one collection asks for all

    Scenario: The store turns a router away
      # Symptom: routers that the store turns away make a quarter of all
      #   calls to it, which are priced and loads it at its worst.
      # Sequence: the store refuses each call for some seconds; each of three
      #   collections tries again some three times a second.
      # Cause: each collection looked for the store by itself.
      Given a store with a configuration
      And plain upstreams "reg-1" and "reg-2"
      And a direct router
      When the store turns all calls away for 4.0 seconds
      Then the other collections made at most 0.6 times the calls of the configuration
      And all collections are followed again within 1.0 seconds
