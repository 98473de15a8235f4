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
