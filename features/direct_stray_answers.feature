Feature: Answers that belong to no waiting request are shown

  A faulty upstream sends answers that nobody waits for: a second copy of an
  earlier one, one to a request of somebody else, one that names no request.

  Background:
    Given a store with a configuration
    And plain upstreams "reg-1" and "reg-2"

  Scenario: An answer that is skipped is logged and counted
    # Guards against logs that don't name a second answer to an earlier request.
    When an upstream sends the first one again before the answer to the second request
    Then the second request has its own answer
    And its send shows 1 skipped and 1 earlier
    And a line of a skipped answer names the upstream, both requests, the status and "earlier"
    And 1 skipped answer of kind "earlier" is counted

  Scenario Outline: An answer that ends a send is logged and counted by kind
    # Guards against logs that don't tell why a send ended: an answer came that
    # may be the request's own, as it is no copy of an earlier one.
    When an upstream sends <answer> before the answer to the second request
    Then the second request may have run, and its send has ended "unassigned"
    And its send shows <skipped> skipped and 1 earlier
    And a line of an ended send names the upstream, both requests, the status and "<kind>"
    And 1 skipped answer of kind "<kind>" is counted

    Examples: answers
      | answer                             | kind      | skipped |
      | another answer to the first one    | different | 0       |
      | an answer to another request       | unknown   | 0       |
      | a refusal without an id            | refusal   | 0       |
      | an answer without an id            | unnamed   | 0       |
      | a failure without an id            | unnamed   | 0       |

  Scenario: An answer that nobody waits for is logged and counted
    # Guards against a closed connection whose cause no line names.
    When an upstream sends the first one again while no request waits
    Then the second request has its own answer
    And its send shows 0 skipped and 0 earlier
    And a line names the upstream, its closed connection and "earlier"
    And 1 unexpected answer of kind "earlier" is counted

  Scenario: Very many skipped answers do not flood the log
    # Guards against a log that one faulty upstream fills.
    When an upstream sends the first one again 500 times before the second one
    Then the second request has its own answer
    And its send shows 500 skipped and 1 earlier
    And no more lines are written than the budget for them allows
