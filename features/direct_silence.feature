Feature: The silence limit adapts to the engines

  The decisions are the router's own code; time is simulated.

  Rule: The limit depends on the engines and the route

    Scenario Outline: The silence after which an engine counts as lost
      Given a route that allows event gaps of <pause> ms and callers that abandon streams after <leaves> s
      And live engines are silent for <silence> ms
      Then a stream is moved after a silence of <after> ms
      And one that can only continue from a copy after <copy> ms

      Examples: Never below the minimum, never later than callers accept
        | pause | leaves | silence | after | copy |
        | 0     | 2      | 0       | 220   | 440  |
        | 250   | 2      | 175     | 220   | 440  |
        | 250   | 2      | 300     | 375   | 750  |
        | 500   | 4      | 0       | 440   | 880  |
        | 500   | 4      | 424     | 530   | 1060 |
        | 250   | 2      | 3000    | 700   | 1400 |
        | 2000  | 16     | 30      | 1760  | 3520 |
        | 500   | 4      | 9000    | 1400  | 2800 |

  Rule: A detection is checked for each stream, and errors raise the limit

    Scenario: A stream that could not be finished elsewhere is not aborted
      Given a detector with 4 streams, of which 1 could be finished elsewhere
      When their engine is silent for 300 ms and another sends data
      Then 1 stream is aborted

    Scenario: Silences of live engines raise the limit
      # Guards against a router that aborts streams of live engines all day:
      # engines prefill long prompts for 424 ms between two events, and data
      # from an engine that had been given up was not recorded.
      Given a detector with 4 streams, of which 4 could be finished elsewhere
      When their engine sends data after 424 ms, 2 times
      And their engine is silent for 500 ms and another sends data
      Then 0 streams are aborted
      When their engine is silent for 600 ms and another sends data
      Then 4 streams are aborted

    Scenario: A single long silence does not raise the limit
      # Guards against late detection of lost engines after a single pause of a
      # link.
      Given a detector with 4 streams, of which 4 could be finished elsewhere
      When their engine sends data after 600 ms, 1 times
      And their engine is silent for 300 ms and another sends data
      Then 4 streams are aborted

    Scenario: A router that was disconnected records no silence
      Given a detector with 4 streams, of which 4 could be finished elsewhere
      When no engine sends data for 600 ms, 2 times
      And their engine is silent for 300 ms and another sends data
      Then 4 streams are aborted

    Scenario: No more streams are aborted than retries are left
      # Guards against streams of a live engine that are aborted for good: each
      # of its streams is checked before any of them has moved, and all of them
      # relied on the one retry that was left.
      Given 6 streams at a silent engine and one retry left
      Then one of them is aborted
