Feature: A silent engine is taken for lost by its own pace

  The decisions are the product's own; time is the scenario's.

  Rule: The bound follows what engines and routes show

    Scenario Outline: The silence that tells of a loss
      Given a route that allows event gaps of <pause> ms and callers that abandon streams after <leaves> s
      And live engines are silent for <silence> ms
      Then a stream is moved after a silence of <after> ms
      And one that can only continue from a copy after <copy> ms

      Examples: Never sooner than in use, never later than callers stand
        | pause | leaves | silence | after | copy |
        | 0     | 2      | 0       | 220   | 440  |
        | 250   | 2      | 175     | 220   | 440  |
        | 250   | 2      | 300     | 375   | 750  |
        | 500   | 4      | 0       | 440   | 880  |
        | 500   | 4      | 424     | 530   | 1060 |
        | 250   | 2      | 3000    | 700   | 1400 |
        | 2000  | 16     | 30      | 1760  | 3520 |
        | 500   | 4      | 9000    | 1400  | 2800 |

  Rule: A guess is asked again, and learnt from

    Scenario: A stream that could not be finished elsewhere is not broken off
      Given a detector with 4 streams, of which 1 could be finished elsewhere
      When their engine is silent for 300 ms and another sends data
      Then 1 stream is aborted

    Scenario: Engines that live teach how long they are silent
      # Symptom: a router breaks the same streams off all day.
      # Sequence: engines read long prompts for 424 ms between two events.
      # Cause: nothing was learnt from an engine that went on after it had
      #   been given up.
      Given a detector with 4 streams, of which 4 could be finished elsewhere
      When their engine sends data after 424 ms, 2 times
      And their engine is silent for 500 ms and another sends data
      Then 0 streams are aborted
      When their engine is silent for 600 ms and another sends data
      Then 4 streams are aborted

    Scenario: One long silence alone teaches nothing
      # Symptom: after a single pause of a link lost engines are noticed late.
      Given a detector with 4 streams, of which 4 could be finished elsewhere
      When their engine sends data after 600 ms, 1 times
      And their engine is silent for 300 ms and another sends data
      Then 4 streams are aborted

    Scenario: A router that is cut off learns nothing
      Given a detector with 4 streams, of which 4 could be finished elsewhere
      When no engine sends data for 600 ms, 2 times
      And their engine is silent for 300 ms and another sends data
      Then 4 streams are aborted

    Scenario: No more streams are broken off than repeats are left
      # Symptom: streams of an engine that lives are cut for good.
      # Sequence: it is silent; each of its streams is asked whether it may
      #   leave before any of them has.
      # Cause: all of them counted on the one repeat that was left.
      Given 6 streams at a silent engine and one retry left
      Then one of them is aborted
