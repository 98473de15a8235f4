Feature: Simulate routing decisions on modelled engines

  The product's own decision code runs on engines modelled in virtual time.

  Rule: The model behaves like an engine

    Scenario: A lone prompt is prefilled before its first event
      Given an idle engine
      When a prompt of 9000 tokens arrives
      Then its first event comes after 82 to 110 ms

    Scenario: Cached parts are not prefilled again
      Given an idle engine
      When a prompt of 9000 tokens arrives
      And another prompt with the same shared parts arrives
      Then the engine prefills only its own part

    Scenario: More runs make each step longer
      Given an idle engine
      When 40 runs are active
      Then a step takes longer than with one

    Scenario: The least urgent run is preempted for memory
      Given an engine with memory for 5000 tokens
      When less urgent runs fill it and an urgent prompt arrives
      Then a less urgent run is preempted and the urgent one runs

    Scenario: Loading weights refuses waiting runs and empties the cache
      Given an idle engine
      When 50 prompts arrive and it loads new weights at once
      Then waiting runs are refused and active runs mix both versions

  Rule: Variants get the same load

    Scenario: A seed reproduces a simulation
      When one variant is simulated twice with the same seed
      Then both simulations have the same figures

    Scenario: Loading in two parts mixes fewer versions in answers
      # Guards against answers that mix two versions of weights (half of all
      # tokens): with a release every 3.2 s and runs of 2 s, every engine
      # loaded each version at once, so no engine let its runs finish.
      When loading in two parts and all at once are simulated
      Then loading in two parts mixes at most 0.8 of the tokens
      And it earns more

    Scenario Outline: Engines of other speeds and sizes
      # Guards against aborted streams on an untested deployment: engines
      # prefilled a third as fast, with suitable targets and pauses, but a
      # time limit had been measured at one speed.
      When the deployment is simulated with <engines>
      Then less than 0.2 percent of the streams are aborted
      And at least <worth> of the worth is earned

      Examples:
        | engines     | worth |
        | speed x0.33 | 0.6   |
        | speed x0.5  | 0.7   |
        | speed x3    | 0.8   |
        | slots x0.33 | 0.75  |
        | count x3    | 0.75  |

    Scenario: Refusing keeps answers on time under three times the load
      # Guards against nearly all answers being late at the worst load: more
      # prompts arrived than engines could prefill, and all were sent because
      # those certain to be late were not refused.
      When refusing and not refusing are simulated at 3 times the load
      Then refusing earns at least 1.2 times as much

  Scenario Outline: Learned engine speeds are as good as known ones
    # Guards against estimates that mislead where engines are slow or fast.
    When engines <factor> times as fast get <load> times the usual load
    Then routers that learn the speed earn within 5% of those that know it

    Examples:
      | factor | load |
      | 0.2    | 1.4  |
      | 0.5    | 1.0  |
      | 2.7    | 1.0  |
