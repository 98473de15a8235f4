Feature: A call with an idempotency key runs at most once
  Executions are counted at the workers, answers at the callers.

  Rule: A repeat gets the first answer, whichever router it comes through

    Scenario: A repeat through another router is answered without a run
      Given 2 agents and 2 routers
      When a caller asks through router 1 with key "a"
      Then the answer is 200, not replayed
      When a caller asks through router 2 with key "a"
      Then the answer is 200, replayed, and equals the first
      And key "a" was executed 1 time

    Scenario: Another call under the same key is refused
      Given 2 agents and 2 routers
      When a caller asks through router 1 with key "a"
      And a caller asks for "other" through router 2 with key "a"
      Then the answer is 422 "idempotency_key_reused" with verdict "not-run"
      And key "a" was executed 1 time

    Scenario: Teams do not share keys
      # Symptom: a caller gets another team's certificate.
      # Sequence: two teams use the same key at the same service.
      # Cause: claims named by the key alone.
      Given 2 agents and 1 router
      When a caller asks through router 1 with key "a"
      And a caller of "brno" asks through router 1 with key "a"
      Then the answer is 200, not replayed
      And key "a" was executed 2 times

    Scenario: Repeats that race through two routers run once
      # Symptom: a certificate is issued twice.
      # Sequence: the caller's timeout is shorter than the service; it asks
      # again through another router while the first call still runs.
      # Cause: a claim that is checked before it is written.
      Given 2 agents and 2 routers
      And the workers hold their answers
      When a call "one" through router 1 with key "a" is under way
      And key "a" is being executed
      And a call "two" through router 2 with key "a" is under way
      And the workers go on
      Then the calls "one" and "two" end with 200 and the same body
      And key "a" was executed 1 time

    Scenario: Many repeats in one batch run once
      Given 2 agents and 2 routers
      When 20 callers ask at once with key "a" and 20 with key "b"
      Then all answers are 200
      And key "a" was executed 1 time
      And key "b" was executed 1 time
