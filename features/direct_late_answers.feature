Feature: A late second answer decides no later send

  A faulty upstream sends an answer once more, late: on the same connection,
  where a later answer is expected.

  Background:
    Given a store with a configuration

  Scenario Outline: A late answer with a body is not taken for another one
    # Guards against an answer that goes to the caller of a later request, or
    # against a later request that counts as failed.
    Given plain upstreams "reg-1" and "reg-2"
    And a direct router
    And the upstreams name requests in their answers
    And upstreams send each answer twice, the second time late
    And every third answer <behaves>
    When a caller fetches 12 records, one after the other
    Then each record is its own

    Examples: answers
      | behaves                            |
      | is good                            |
      | fails                              |
      | is 503 without saying "not run"    |

  Scenario: A late second stream is not taken for the next one
    # Guards against events of an earlier stream in a later one.
    Given engines "eng-1" and "eng-2"
    And a direct router
    And upstreams send each answer twice, the second time late
    When a caller asks a model 8 times, one after the other
    Then each stream has all events once and in order
    And upstreams ran each of the 8 requests once

  Scenario Outline: A late answer to HEAD does not hide the next answer
    # Guards against an answer that is read as the body of a late one: the
    # head of an answer to HEAD states the length of a body that is not sent.
    Given plain upstreams "reg-1" and "reg-2"
    And a direct router
    And upstreams send each answer twice, the second time late
    When HEAD precedes <method> to "<path>"
    Then both are answered at once

    Examples: requests
      | method | path            |
      | GET    | /records/1      |
      | HEAD   | /records/1      |
      | POST   | /certificates/1 |

  Scenario: A stall while a late answer is skipped does not lose the next one
    # Guards against an answer that is lost as its router stood still: the
    # time for which a late answer is skipped passed meanwhile.
    Given plain upstreams "reg-1" and "reg-2"
    When the process stands still for 0.6 s while a late answer arrives
    Then the answer to the request itself is received

  Scenario Outline: Late second reports and answers to orders mislead no one
    # Guards against engines that are ordered twice, or not at all, for a
    # report or an answer to an order that comes a second time: an earlier
    # report that counts as the newest one gives an order that is refused.
    Given engines "eng-1" and "eng-2"
    And a direct router
    And upstreams send each report and each answer to an order twice, <calls> later
    When weights are named 4 times, each once all engines have the last
    Then each engine was ordered once for each version
    And reports were sent, each on a connection of its own like orders
    And no upstream received a request that no caller sent

    Examples: calls on the same connection
      | calls |
      | 1     |
      | 2     |
      | 3     |
      | 4     |
