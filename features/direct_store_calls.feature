Feature: Calls to the store are few and counted

  All routers share the request rate of the store, and each call is priced.
  Time is simulated, except in the last scenario.

  Rule: Calls are counted by subject and reason

    Scenario: A watcher counts its calls by reason
      # Guards against several calls a second whose reason is unknown: changes,
      # empty waits and failures all lead to calls, which were not counted.
      Given a watcher of "upstreams" whose calls are counted
      When it reads, waits without a result, receives a change and fails the next call
      Then these calls were counted
        | subject   | reason  | calls |
        | upstreams | read    | 1     |
        | upstreams | quiet   | 2     |
        | upstreams | change  | 1     |
        | upstreams | failure | 1     |

    Scenario: Calls for system objects are counted by price
      Given a store of system objects whose calls are counted
      When an object is written, read, peeked at and removed
      Then these calls were counted
        | subject | reason | calls |
        | leases  | write  | 2     |
        | leases  | get    | 1     |
        | leases  | peek   | 1     |
        | routers | peek   | 1     |

    Scenario: A log line reports the calls since the previous one
      Given a store of system objects whose calls are counted
      When an object is written, read, peeked at and removed
      And the counts are logged twice
      Then one log line reports 5 calls

  Rule: A series of changes takes few calls

    Scenario: Engines load new weights and some of them are replaced
      # Guards against calls that grow with engines times routers: 39 engines
      # load two versions and a third of them crash; each of these changes an
      # entry, and every router calls after each change. A router waited 0.2 s
      # for further changes, and such calls were the largest part of all.
      Given entries of upstreams that change 3 times a second for 30 seconds
      When a router watches them
      Then it makes at most 2.0 calls a second
      And it knows of each change within 0.6 seconds

    Scenario: A single change after an idle period is known at once
      Given entries of upstreams that change once after 5 seconds
      When a router watches them
      Then it knows of each change within 0.1 seconds

  Rule: While the store is unavailable one collection retries for all

    Scenario: The store refuses the calls of a router
      # Guards against retries that are a quarter of all calls, are priced and
      # load the store when it is overloaded: it refuses calls for some seconds
      # while three collections each retry some three times a second,
      # independently.
      Given a store with a configuration
      And plain upstreams "reg-1" and "reg-2"
      And a direct router
      When the store refuses all calls for 4.0 seconds
      Then the other collections made at most 0.6 times the calls of the configuration
      And all collections are watched again within 1.0 seconds
