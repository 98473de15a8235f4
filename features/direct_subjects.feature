Feature: Many routers send one subject to one engine

  Each of many routers sees a subject rarely, so by what it sent itself it
  knows of no engine that keeps the subject's parts.

  Background:
    Given engines that prefill 40 tokens per ms and a prompt with 6,000 shared tokens

  Scenario Outline: A short queue does not spread a subject
    # Guards against a subject that is read again at each engine.
    When the first engine in the prompt's order has <wait> ms of queued prefill
    Then the prompt is placed on the <engine> engine

    Examples:
      | wait | engine |
      | 0    | first  |
      | 60   | first  |
      | 100  | other  |
      | 300  | other  |

  Scenario: What a router sent itself counts for more
    # Guards against reading parts again that another engine surely keeps.
    When the other engine was sent the shared parts before
    Then the prompt is placed on the other engine

  Scenario: Faster engines save less time
    When engines prefill 400 tokens per ms
    And the first engine in the prompt's order has 20 ms of queued prefill
    Then the prompt is placed on the other engine

  Scenario: A prompt that names no parts is placed
    # Guards against requests that end without an answer for want of a part.
    When the prompt has no parts
    Then the prompt is placed on any engine

  Scenario: An expected first event does not count on kept parts
    # Guards against admitting prompts that come late where nothing is kept.
    When the first engine in the prompt's order has 0 ms of queued prefill
    Then its first event is expected after at least 150 ms
