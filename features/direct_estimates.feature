Feature: Routers estimate how fast engines work

  Values measured on one deployment's engines are wrong for another's. Engines
  with slower prefill than configured get more prompts than they can prefill
  in time, and their first events are late. Time is simulated.

  Scenario Outline: The prefill speed is estimated despite other routers' load
    # Guards against placement by the speed of other engines.
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

  Scenario: Outliers change the estimate little
    # Guards against a frozen VM that makes all engines seem slow.
    Given engines with a prefill speed of 41 tokens per ms and a step time of 9 ms
    When a router receives 40 first events, 6 of them 3 s late
    Then the speed is estimated within 15%

  Scenario: Prompts of one length give no estimate of the speed
    # Guards against an estimate from the constant part of a first event.
    Given engines with a prefill speed of 41 tokens per ms and a step time of 9 ms
    When a router receives 40 first events of prompts of 2,000 tokens
    Then the configured speed applies

  Scenario: The configured speed applies without samples
    Given engines with a prefill speed of 41 tokens per ms and a step time of 9 ms
    Then the configured speed applies

  Scenario: Samples expire
    # Guards against estimates from engines that were replaced.
    Given engines with a prefill speed of 41 tokens per ms and a step time of 9 ms
    When a router receives 40 first events, a fraction of 0.0 queued behind other prompts
    And the samples are 61 s old
    Then the configured speed applies

  Scenario: The estimate follows changed engines
    Given engines with a prefill speed of 110 tokens per ms and a step time of 9 ms
    When a router receives 48 first events, a fraction of 0.2 queued behind other prompts
    And the prefill speed changes to 41 tokens per ms
    And a router receives 48 first events, a fraction of 0.2 queued behind other prompts
    Then the speed is estimated within 15%

  Scenario: The time per token is estimated from runs of estimated lengths
    Given runs of 73 tokens on average that take 5.5 ms per token
    When 30 of them end, their lengths estimated as half to twice as long
    Then a token is estimated to take 5.5 ms within 20%

  Scenario: The time of a load is estimated though some orders are late
    # Guards against excluding engines for as long as a late order takes.
    Given a load that takes 700 ms
    When 12 engines have loaded, 5 of them 3 s late
    Then a load is estimated to take 700 ms within 20%

  Scenario: The estimated speed has an upper bound
    Given engines with a prefill speed of 100000 tokens per ms and a step time of 9 ms
    When a router receives 40 first events, a fraction of 0.0 queued behind other prompts
    Then the speed is at most 1000 tokens per ms

  Scenario: Shared parts that are cached or not change the estimate little
    # Guards against counting parts as prefilled that prompts of other routers
    # left in the cache.
    Given engines with a prefill speed of 41 tokens per ms and a step time of 9 ms
    When a router receives 48 first events of two routes, half of their shared parts cached
    Then the speed is estimated within 40%

  Scenario: A router uses the estimates for each service
    Given a router with samples of engines that prefill 41 tokens per ms
    Then it assumes about 41 tokens per ms for that service
    And the configured values for another service
