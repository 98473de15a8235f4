Feature: What came before an upstream closed its connection is used

  Answers, and the close after them, may arrive at once: the upstream is
  quick, or the router was held up.

  Background:
    Given a store with a configuration

  Scenario: Events that arrive together with the close are passed on
    # Guards against a stream that is lost although its first event and a copy
    # of its run are there: an engine breaks off right after the first event,
    # and the event is dropped as the connection is closed by then.
    Given engines "eng-1" and "eng-2"
    And a direct router
    And engines that copy the KV cache of runs
    And the next engine sends an event, half of another one and the close at once
    When a caller requests a non-resumable stream
    Then the answer is 200 with all events once and in order
    And one engine ran the request and the other continued it

  Scenario Outline: An answer between a copy of another one and the close counts
    # Guards against an answer that is lost, and a request that is sent again
    # although a failure answered it: a copy of an earlier answer is skipped,
    # and the connection is closed by then.
    Given plain upstreams "reg-1" and "reg-2"
    When an upstream sends a copy, <answer> and the close at once
    Then the second request got that answer

    Examples: answers
      | answer                    |
      | a success                 |
      | a failure                 |
      | a refusal                 |
      | a success without framing |
