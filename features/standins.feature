Feature: Stand-in workers behave as the engines, services and stores do
  The stand-ins are the ground that all other checks stand on, so that a
  fault of theirs would show as a fault of the system or hide one.

  Scenario: The answer depends on prompt, model, adapter and weights alone
    Given the stand-in engines "e1" and "e2"
    And the stand-in engine "e3" with {"models": [{"id": "diag", "weights": "w2"}]}
    When "e1" is asked "why" for 40 tokens as "r1"
    And "e2" is asked "why" for 40 tokens as "r2"
    And "e3" is asked "why" for 40 tokens as "r3"
    And "e1" is asked "how" for 40 tokens as "r4"
    Then the answers "r1" and "r2" are the same
    And the answers "r1" and "r3" differ
    And the answers "r1" and "r4" differ
    And the answer "r1" is what the load tool expects of "why"

  Scenario: A prompt with the first words of its answer is continued
    Given the stand-in engines "e1" and "e2"
    When "e1" is asked "why" for 20 tokens as "r1"
    And "e2" continues "why" and the first 7 words of "r1" for 13 tokens as "r2"
    Then the answer "r2" ends the answer "r1" after 7 words

  Scenario: A whole answer counts its tokens and its hits
    Given the stand-in engine "e1" with {}
    When "e1" is asked a prompt "A" of 2 blocks and 6 bytes as "r1"
    And "e1" is asked a prompt "A" of 2 blocks and 6 bytes as "r2"
    Then the answer "r1" took 0 of 130 prompt tokens from the cache
    And the answer "r2" took 128 of 130 prompt tokens from the cache
    And "e1" counts 132 tokens computed and 128 taken from the cache

  Scenario: A cut stream is resumed without a gap
    Given the stand-in engine "e1" with {}
    When "e1" is given the faults {"cut": {"after_tokens": 3}}
    And "e1" streams "why" for 10 tokens as "r1"
    Then the stream "r1" is cut after 3 events
    When the stream "r1" is resumed at "e1" after event 3
    Then the events of "r1" are numbered 1 to 12 and end with [DONE]
    And the answer "r1" is what the load tool expects of "why"
    And "e1" counts 1 execution of "r1"

  Scenario: A cancelled request leaves the batch
    Given the stand-in engine "e1" with {}
    When "e1" begins to stream "why" for 100000 tokens as "r1"
    And the request "r1" is cancelled at "e1"
    Then the stream "r1" ends with the finish reason "cancelled"
    And "e1" runs 0 requests
    And the request "r1" can be cancelled at "e1" once more

  Scenario: A waiting request of higher priority goes first
    Given the stand-in engine "e1" with {"max_running": 1}
    When "e1" begins to stream "why" for 100000 tokens as "r1"
    And a request "low" of priority 0 waits at "e1"
    And a request "high" of priority 5 waits at "e1"
    And the request "r1" is cancelled at "e1"
    Then the requests ended in the order "high, low"

  Scenario: The least recently used blocks are evicted first
    Given the stand-in engine "e1" with {"capacity_blocks": 4}
    When "e1" is asked a prompt "A" of 2 blocks and 0 bytes as "r1"
    And "e1" is asked a prompt "B" of 2 blocks and 0 bytes as "r2"
    And "e1" is asked a prompt "A" of 2 blocks and 0 bytes as "r3"
    And "e1" is asked a prompt "C" of 2 blocks and 0 bytes as "r4"
    Then "e1" holds 2 blocks of the prompt "A"
    And "e1" holds 0 blocks of the prompt "B"
    And "e1" holds 2 blocks of the prompt "C"

  Scenario: Another team's salt finds nothing
    Given the stand-in engine "e1" with {}
    When "e1" is asked a prompt "A" of 2 blocks and 0 bytes as "r1"
    And the salt is another team's
    And "e1" is asked a prompt "A" of 2 blocks and 0 bytes as "r2"
    Then the answer "r2" took 0 of 128 prompt tokens from the cache

  Scenario: The system and the engine hash a prompt alike
    Given the stand-in engine "e1" with {}
    When "e1" is asked a prompt "A" of 3 blocks and 100 bytes as "r1"
    Then the snapshot of "e1" is the chain that the system computes for "A"

  Scenario Outline: Cache events tell the snapshot, unless some are lost
    Given the stand-in engine "e1" with {"capacity_blocks": 4}
    When "e1" is given the faults <faults>
    And "e1" is asked a prompt "A" of 3 blocks and 0 bytes as "r1"
    And "e1" is asked a prompt "B" of 3 blocks and 0 bytes as "r2"
    And "e1" is given the faults {}
    And "e1" is asked a prompt "C" of 3 blocks and 0 bytes as "r3"
    Then the cache events of "e1" <tell> its snapshot

    Examples:
      | faults                                      | tell    |
      | {}                                          | tell    |
      | {"delay_events_s": 0.05}                    | tell    |
      | {"lose_events": {"share": 0.5, "seed": 11}} | lack    |

  Scenario Outline: An order with an old fencing number
    Given the stand-in engine "e1" with {"honours_fencing": <honours>}
    When "e1" is given the faults <faults>
    And "e1" is ordered to load "w5" with the fencing number 5
    And "e1" is ordered to load "w4" with the fencing number 4
    Then the last order is answered <status>
    And "e1" serves the weights "<weights>"
    And a request for other weights than "<weights>" is refused by "e1" with 409

    Examples:
      | honours | faults                    | status | weights |
      | true    | {}                        | 409    | w5      |
      | false   | {}                        | 200    | w4      |
      | true    | {"honour_fencing": false} | 200    | w4      |

  Scenario: New weights are fetched from the platform and empty the cache
    Given the stand-in plain service "platform" with {}
    And the stand-in engine "e1" that fetches weights from "platform"
    When "e1" is asked a prompt "A" of 2 blocks and 0 bytes as "r1"
    And "e1" is ordered to load "w5" with the fencing number 1
    Then "platform" counts 1 execution of no named request
    And "e1" serves the weights "w5"
    And "e1" holds 0 blocks of the prompt "A"

  Scenario: Kept KV cache moves to another engine
    Given the stand-in engines "e1" and "e2"
    And the stand-in KV store "k1"
    When "e1" is asked a prompt "A" of 3 blocks and 0 bytes as "r1"
    And "e1" exports the prompt "A" to "k1"
    Then "k1" holds 3 leading blocks of the prompt "A"
    When "e2" imports the prompt "A" from "k1"
    Then "e2" holds 3 blocks of the prompt "A"
    When "k1" is given the faults {"crash": {}}
    Then "k1" holds 0 leading blocks of the prompt "A"

  Scenario: A crash loses cache and requests, and starts another epoch
    Given the stand-in engine "e1" with {}
    When "e1" is asked a prompt "A" of 2 blocks and 0 bytes as "r0"
    And "e1" begins to stream "why" for 100000 tokens as "r1"
    And "e1" is given the faults {"crash": {}}
    Then the stream "r1" breaks
    And "e1" has another epoch
    And "e1" holds 0 blocks of the prompt "A"
    And "e1" no longer knows the request "r1"
    And "e1" counts 1 execution of "r1"

  Scenario: A crashed worker refuses connections for as long as told
    Given the stand-in engine "e1" with {}
    When "e1" is given the faults {"crash": {"refuse_s": 0.2, "lose_models": true}}
    Then "e1" refuses connections, then serves no model

  Scenario: A paused worker keeps its connections and answers nothing
    Given the stand-in engine "e1" with {}
    When "e1" is given the faults {"pause_s": 0.3}
    Then "e1" answers no request until its pause is over

  Scenario: Load is reported with a lag, the truth without
    Given the stand-in engine "e1" with {"load_lag_ms": 60000}
    When "e1" begins to stream "why" for 100000 tokens as "r1"
    Then "e1" reports 0 running requests
    And "e1" runs 1 requests
    When "e1" is given the faults {"load_lag_ms": 0}
    Then "e1" reports 1 running requests

  Scenario Outline: Crossed answers swap two concurrent requests
    Given the stand-in <kind> "w1" with {}
    When "w1" is given the faults {"crossed": {"requests": 2}}
    And "w1" gets the calls "r1" and "r2" at once
    Then the calls "r1" and "r2" got each other's answer
    When "w1" gets the calls "r3" and "r4" at once
    Then the calls "r3" and "r4" got their own answer

    Examples:
      | kind          |
      | engine        |
      | plain service |

  Scenario: Each execution of a plain service is counted
    Given the stand-in plain service "p1" with {}
    When "p1" is called as "q1" with the idempotency key "k1"
    And "p1" is called as "q1" with the idempotency key "k1"
    And "p1" is called as "q2" with the idempotency key "k1"
    Then "p1" counts 2 executions of "q1"
    And "p1" counts 1 execution of "q2"
    And "p1" counts 3 executions of the idempotency key "k1"

  Scenario: A crash keeps queued calls from running
    Given the stand-in plain service "p1" with {"max_running": 1, "service_ms": 60000}
    When the calls "q1" and "q2" wait at "p1"
    And "p1" is given the faults {"crash": {}}
    Then "p1" counts 1 execution of "q1"
    And "p1" counts 0 executions of "q2"

  Scenario: One process hosts many workers and says where they listen
    When a stand-in process is started for an engine, a plain service and a store
    Then it prints where each of the three listens and answers there
    And it ends with 0 on SIGTERM

  Scenario: Wrong settings are named
    When stand-in settings are read with {"workers": [{"kind": "engine", "name": "e", "capacity": 3}]}
    Then the stand-in settings are refused naming "capacity"
