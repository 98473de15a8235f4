Feature: Many routers send one subject to one engine

  Each of many routers sees a subject rarely, so its own requests don't show
  which engine has cached the subject's parts.

  Background:
    Given engines that prefill 40 tokens per ms and a prompt with 6,000 shared tokens

  Scenario Outline: A short queue does not spread a subject
    # Guards against repeating the prefill of a subject at each engine.
    When the first engine in the prompt's order has <wait> ms of queued prefill
    Then the prompt is placed on the <engine> engine

    Examples:
      | wait | engine |
      | 0    | first  |
      | 60   | first  |
      | 100  | other  |
      | 300  | other  |

  Scenario: Parts that a router sent itself count for more
    # Guards against repeating the prefill of parts that another engine surely
    # has cached.
    When the other engine was sent the shared parts before
    Then the prompt is placed on the other engine

  Scenario: Faster engines save less time
    When engines prefill 400 tokens per ms
    And the first engine in the prompt's order has 20 ms of queued prefill
    Then the prompt is placed on the other engine

  Scenario: A prompt without parts is placed
    # Guards against requests without an answer because a part is missing.
    When the prompt has no parts
    Then the prompt is placed on any engine

  Scenario: The expected first event does not rely on cached parts
    # Guards against admitting prompts that are late where nothing is cached.
    When the first engine in the prompt's order has 0 ms of queued prefill
    Then its first event is expected after at least 150 ms
