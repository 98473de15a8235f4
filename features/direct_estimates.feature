Feature: Routers learn how fast engines work

  Figures of one deployment's engines are wrong for another's. Engines that
  read more slowly than configured get more prompts than they can read in
  time, and their first events come late. Time is the scenario's.

  Scenario Outline: The speed of reading is learnt beside other routers' load
    # Guards against decisions by the speed of other engines.
    Given engines with a prefill speed of <speed> tokens per ms and a step time of 9 ms
    When a router receives 40 first events, a fraction of <load> queued behind other prompts
    Then the speed is estimated within 15%

    Examples:
      | speed | load |
      | 20    | 0.0  |
      | 20    | 0.5  |
      | 41    | 0.0  |
      | 41    | 0.5  |
      | 110   | 0.5  |
      | 300   | 0.0  |

  Scenario: Stragglers change the estimate little
    # Guards against a frozen VM that makes all engines seem slow.
    Given engines with a prefill speed of 41 tokens per ms and a step time of 9 ms
    When a router receives 40 first events, 6 of them 3 s late
    Then the speed is estimated within 15%

  Scenario: Prompts of one length tell nothing of the speed
    # Guards against an estimate from the constant part of a first event.
    Given engines with a prefill speed of 41 tokens per ms and a step time of 9 ms
    When a router receives 40 first events of prompts of 2,000 tokens
    Then the configured speed applies

  Scenario: Before anything is seen what is configured holds
    Given engines with a prefill speed of 41 tokens per ms and a step time of 9 ms
    Then the configured speed applies

  Scenario: What was seen long ago holds no more
    # Guards against figures of engines that were replaced.
    Given engines with a prefill speed of 41 tokens per ms and a step time of 9 ms
    When a router receives 40 first events, a fraction of 0.0 queued behind other prompts
    And the samples are 61 s old
    Then the configured speed applies

  Scenario: Changed engines are followed
    Given engines with a prefill speed of 110 tokens per ms and a step time of 9 ms
    When a router receives 48 first events, a fraction of 0.2 queued behind other prompts
    And the prefill speed changes to 41 tokens per ms
    And a router receives 48 first events, a fraction of 0.2 queued behind other prompts
    Then the speed is estimated within 15%

  Scenario: The time of a token is learnt from runs of guessed lengths
    Given runs of 73 tokens on average that take 5.5 ms per token
    When 30 of them end, their lengths estimated as half to twice as long
    Then a token is estimated to take 5.5 ms within 20%

  Scenario: The time of a load is learnt though some orders come late
    # Guards against shunning engines for as long as a late order takes.
    Given a load that takes 700 ms
    When 12 engines have loaded, 5 of them 3 s late
    Then a load is estimated to take 700 ms within 20%

  Scenario: No engine is taken for infinitely fast
    Given engines with a prefill speed of 100000 tokens per ms and a step time of 9 ms
    When a router receives 40 first events, a fraction of 0.0 queued behind other prompts
    Then the speed is at most 1000 tokens per ms

  Scenario: Shared parts that are kept or not change the estimate little
    # Guards against taking parts that other routers' prompts left for read.
    Given engines with a prefill speed of 41 tokens per ms and a step time of 9 ms
    When a router receives 48 first events of two routes, half of their shared parts cached
    Then the speed is estimated within 40%

  Scenario: A router decides by what its engines have shown
    Given a router with samples of engines that prefill 41 tokens per ms
    Then it assumes about 41 tokens per ms for that service
    And the configured values for another service
