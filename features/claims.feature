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

    Scenario: A repeat that arrives while the claim is written waits for it
      # Symptom: a call runs twice.
      # Sequence: the claim's write is under way; the repeat is decided on
      # with what was read before it.
      # Cause: an agent that takes its own claim, which it does not know to
      # be in use, for one that never ran.
      Given 2 agents and 2 routers
      And the home agent's writes are held
      When a call "one" through router 1 with key "a" is under way
      And the home agent's write is held
      And a call "two" through router 2 with key "a" is under way
      And the home agent has a request waiting for its next write
      And the home agent's writes go on
      Then the calls "one" and "two" end with 200 and the same body
      And key "a" was executed 1 time

    Scenario: Many repeats in one batch run once
      Given 2 agents and 2 routers
      When 20 callers ask at once with key "a" and 20 with key "b"
      Then all answers are 200
      And key "a" was executed 1 time
      And key "b" was executed 1 time

    Scenario: A repeat that outwaits its deadline is told to come back
      # Symptom: a caller takes a new key, and the certificate is issued
      # twice.
      # Sequence: the first call runs for long; the repeat is told "not run".
      # Cause: a verdict about the attempt in place of the call.
      Given the first answer is due in 1500 ms
      And 2 agents and 2 routers
      And the workers hold their answers
      When a call "one" through router 1 with key "a" is under way
      And key "a" is being executed
      And a caller asks through router 2 with key "a"
      Then the answer is 409 "idempotency_key_in_use" with verdict "may-have-run"
      And the answer tells when to come back
      When the workers go on
      And the call "one" ends
      And a caller asks through router 2 with key "a"
      Then the answer is 200, replayed, and equals the first answer of 200
      And key "a" was executed 1 time

    Scenario: Only what must not be repeated is claimed
      Given 1 agent and 1 router
      When a caller asks through router 1 without a key
      Then the answer is 200, not replayed
      And the platform saw 0 writes

  Rule: The platform fails, and "not run" stays true

    Scenario: In an outage nothing runs, and the caller is told at once
      # Symptom: a repeat after an outage runs a call that ran before it.
      # Sequence: the platform is down; the call runs without a claim; the
      # caller repeats it when the platform is back.
      # Cause: a claim that is taken as granted when it can't be written.
      Given 2 agents and 2 routers
      And the platform of all agents is down
      When a caller asks through router 1 with key "a"
      Then the answer is 503 "platform_unavailable" with verdict "not-run"
      And the answer tells when to come back
      And key "a" was executed 0 times
      When the platform of all agents is back
      And a caller asks through router 2 with key "a" until it is served
      Then key "a" was executed 1 time

    Scenario: An agent that has no platform runs nothing that needs a claim
      Given agents that have no platform
      And 1 agent and 1 router
      When a caller asks through router 1 with key "a"
      Then the answer is 503 "platform_unavailable" with verdict "not-run"
      And key "a" was executed 0 times

    Scenario: A claim whose answer was lost is found and used
      # Symptom: after a lost answer the call is refused for a day.
      # Sequence: the write takes effect, its answer is lost; the retry meets
      # a conflict with the agent's own claim.
      # Cause: a conflict taken for another agent's write.
      Given 2 agents and 2 routers
      And the platform loses its next 1 answers
      When a caller asks through router 1 with key "a"
      Then the answer is 200, not replayed
      And key "a" was executed 1 time

    Scenario: An outcome whose answer was lost is kept
      Given 2 agents and 2 routers
      And the workers hold their answers
      When a call "one" through router 1 with key "a" is under way
      And key "a" is being executed
      And the platform loses its next 1 answers
      And the workers go on
      And the call "one" ends
      Then the claim of key "a" comes to stand as "RAN"
      When the home agent leaves router 2
      And a caller asks through router 2 with key "a"
      Then the answer is 200, replayed, and equals the first

    Scenario: A claim that may stand is withdrawn once the platform is back
      # Symptom: a call that never ran is refused as "may have run" for a day.
      # Sequence: the claim takes effect, its answer is lost, and the platform
      # goes out of reach; the caller is told "not run" and asks again.
      # Cause: a claim forgotten by the only one who knows that it never ran.
      Given 2 agents and 2 routers
      And the home agent loses an answer and then the platform
      When a caller asks through router 1 with key "a"
      Then the answer is 503 "platform_unavailable" with verdict "not-run"
      And the claim of key "a" stands as "CLAIMED"
      When the home agent leaves router 2
      And a caller asks through router 2 with key "a"
      Then the answer is 409 "outcome_unknown" with verdict "may-have-run"
      When the home agent reaches the platform again
      Then the claim of key "a" comes to be withdrawn
      When a caller asks through router 2 with key "a"
      Then the answer is 200, not replayed
      And key "a" was executed 1 time

    Scenario: A claim written after its caller was refused is withdrawn
      # Symptom: a call that was refused as not run is "still running" for
      # ever.
      # Sequence: the platform is slow; the caller is refused; then the write
      # ends well.
      # Cause: a permit given to an attempt that has ended.
      Given a claim is waited for 200 ms
      And 2 agents and 2 routers
      And the home agent's writes are held
      When a caller asks through router 1 with key "a"
      Then the answer is 503 "platform_unavailable" with verdict "not-run"
      When the home agent's writes go on
      And a caller asks through router 2 with key "a" until it is served
      Then key "a" was executed 1 time
      And the claim of key "a" comes to stand as "RAN"

    Scenario: The agent whose claim may stand runs the call itself
      Given 2 agents and 2 routers
      And the home agent loses an answer and then the platform
      When a caller asks through router 1 with key "a"
      Then the answer is 503 "platform_unavailable" with verdict "not-run"
      When the home agent reaches the platform again
      And a caller asks through router 1 with key "a" until it is served
      Then key "a" was executed 1 time

    Scenario: An answer goes out although its outcome can't be written
      # Symptom: a caller never learns that its certificate was issued.
      # Sequence: the platform goes out of reach while the call runs.
      # Cause: an answer that waits for the platform.
      Given 2 agents and 2 routers
      And the workers hold their answers
      When a call "one" through router 1 with key "a" is under way
      And key "a" is being executed
      And the home agent loses the platform
      And the workers go on
      And the call "one" ends
      Then the answer is 200, not replayed
      When a caller asks through router 2 with key "a"
      Then the answer is 200, replayed, and equals the first
      When the home agent leaves router 2
      And a caller asks through router 2 with key "a"
      Then the answer is 409 "outcome_unknown" with verdict "may-have-run"
      When the home agent reaches the platform again
      Then the claim of key "a" comes to stand as "RAN"
      When a caller asks through router 2 with key "a"
      Then the answer is 200, replayed, and equals the first
      And key "a" was executed 1 time

  Rule: Agents come, go, pause and meet, and only one runs a call

    Scenario: Two agents that write one range keep each other's claims
      # Symptom: a repeat runs again after a range changed hands and back.
      # Sequence: the home agent writes, leaves, the other writes, the home
      # agent comes back and writes upon what it remembers.
      # Cause: an update without the version that it was made for.
      Given 2 agents and 1 router
      When a caller asks through router 1 with key "a"
      And the home agent leaves router 1
      And a caller asks through router 1 with key "b"
      And the home agent comes back to router 1
      And a caller asks through router 1 with key "c"
      Then the answer is 200, not replayed
      When a caller asks through router 1 with key "b"
      Then the answer is 200, replayed, and equals answer 2
      When a caller asks through router 1 with key "a"
      Then the answer is 200, replayed, and equals the first
      And key "b" was executed 1 time

    Scenario: A paused agent that wakes does not run what another ran
      # Symptom: a certificate is issued twice.
      # Sequence: an agent pauses between its look at the claims and its
      # write; the caller asks again and the other agent runs the call; the
      # first wakes and goes on.
      # Cause: a right to run that ends by a clock the holder doesn't see.
      Given 2 agents and 2 routers
      And the home agent's writes are held
      When a call "one" through router 1 with key "a" is under way
      And the home agent's write is held
      And the home agent leaves router 2
      And a caller asks through router 2 with key "a"
      Then the answer is 200, not replayed
      When the home agent's writes go on
      And the call "one" ends
      Then the answer is 200, replayed, and equals the first
      And key "a" was executed 1 time

    Scenario: A restart between claim and outcome ends in "may have run"
      # Symptom: a certificate is issued twice.
      # Sequence: the agent is lost after its worker got the call and before
      # the outcome is written; the caller repeats the call.
      # Cause: the next run of the agent takes the claim for its own.
      Given 2 agents and 2 routers
      And the workers hold their answers
      When a call "one" through router 1 with key "a" is under way
      And key "a" is being executed
      And the home agent restarts
      And the call "one" ends
      Then the answer has verdict "may-have-run"
      When the workers go on
      And a caller asks through router 2 with key "a"
      Then the answer is 409 "outcome_unknown" with verdict "may-have-run"
      And key "a" was executed 1 time

    Scenario: An outcome told meanwhile is seen by an agent that looked before
      # Symptom: a repeat gets "may have run" for a day, though the outcome
      # is kept.
      # Sequence: the other agent looks while the call runs; then it ends.
      # Cause: a claim remembered as open, though its owner may change it.
      Given 2 agents and 2 routers
      And the workers hold their answers
      When a call "one" through router 1 with key "a" is under way
      And key "a" is being executed
      And the home agent leaves router 2
      And a caller asks through router 2 with key "a"
      Then the answer is 409 "outcome_unknown" with verdict "may-have-run"
      When the workers go on
      And the call "one" ends
      Then the claim of key "a" comes to stand as "RAN"
      When a caller asks through router 2 with key "a"
      Then the answer is 200, replayed, and equals the first answer of 200

    Scenario: What one worker did not run another one may
      # Symptom: a call that ran nowhere is refused as "may have run".
      # Sequence: the worker takes no connection; "not run" sends the router
      # to the next agent, which finds the first one's claim.
      # Cause: a refusal that leaves before its claim is withdrawn.
      Given 2 agents and 2 routers
      And the home agent's worker takes no connection
      When a caller asks through router 1 with key "a"
      Then the answer is 200, not replayed
      And key "a" was executed 1 time

    Scenario: A drain writes the outcomes it owes
      # Symptom: after a rolling restart, repeats of calls that had their
      # answers get "may have run".
      # Sequence: the outcome waits to be written with the next claim; the
      # agent drains.
      # Cause: a drain that counts answers only.
      Given outcomes wait 3600 s for the next claim
      And 2 agents and 2 routers
      When a caller asks through router 1 with key "a"
      Then the claim of key "a" stands as "CLAIMED"
      When the home agent drains
      Then the claim of key "a" stands as "RAN"

  Rule: What is kept has a bound, and nothing is forgotten early

    Scenario: A range keeps its pace of writes
      # Symptom: bundle rolls and leases fail while a service is busy.
      # Sequence: each call of a busy range writes its claim by itself.
      # Cause: writes that follow calls and not time.
      Given a range writes 2 times at once and then once in 3600 s
      And 2 agents and 2 routers
      When a caller asks through router 1 with key "a"
      And a caller asks through router 1 with key "b"
      Then the answer is 200, not replayed
      When a caller asks through router 1 with key "c"
      Then the answer is 503 "platform_unavailable" with verdict "not-run"
      And the platform saw 2 writes
      And key "c" was executed 0 times

    Scenario: A long answer is not kept, and a repeat says so
      Given answers of up to 10 bytes are kept
      And 2 agents and 2 routers
      When a caller asks through router 1 with key "a"
      And a caller asks through router 2 with key "a"
      Then the answer is 409 "answer_not_kept" with verdict "ran"
      And key "a" was executed 1 time

    Scenario: The oldest answers make room, their claims stay
      Given answers of up to 100 bytes together are kept
      And 2 agents and 2 routers
      When a caller asks through router 1 with key "a"
      And a caller asks through router 1 with key "b"
      And the claim of key "b" comes to stand as "RAN"
      And a caller asks through router 1 with key "b"
      Then the answer is 200, replayed, and equals answer 2
      When a caller asks through router 1 with key "a"
      Then the answer is 409 "answer_not_kept" with verdict "ran"
      And key "a" was executed 1 time

    Scenario: A full range refuses, and repeats are still known
      # Symptom: a repeat runs a second time on a busy day.
      # Sequence: more calls than an object has room for; the oldest claims
      # are dropped.
      # Cause: a bound kept by forgetting.
      Given a range holds 900 bytes
      And 2 agents and 2 routers
      When a caller asks with new keys until one is refused
      Then the answer is 503 "claims_full" with verdict "not-run"
      And the answer tells when to come back
      When a caller asks through router 2 with key "new-0"
      Then the answer is 200, replayed, and equals the first
      And key "new-0" was executed 1 time

    Scenario: A claim is kept for the retention and no longer
      Given claims of an agent kept for 100 s
      When attempt "one" claims and runs at 0 s
      Then attempt "two" at 100 s gets the kept answer
      And attempt "three" at 101 s gets a permit

    Scenario: A call that ran long ago is still known by its key alone
      Given claims of an agent kept for 100 s and folded after 10 s
      When attempt "one" claims and runs at 0 s
      And another key is claimed at 20 s
      Then the object holds 1 key folded
      And attempt "two" at 100 s is refused as one that ran
      And attempt "three" at 101 s gets a permit

    Scenario: A range full of expired keys takes calls again
      # Symptom: a service refuses every call with an idempotency key, for
      # ever.
      # Sequence: a range fills with folded keys; no call runs in it any more;
      # the keys expire.
      # Cause: expired keys that go only when others are folded.
      When a range of 1000 folded keys is full, and they have expired
      Then the draft for one more call grants it

    Scenario: A late withdrawal leaves the claim of a later attempt alone
      # Symptom: a call runs twice.
      # Sequence: an attempt did not run; a second attempt claims the key and
      # runs; only then the withdrawal is written.
      # Cause: a withdrawal by key and not by attempt.
      When the withdrawal of attempt "one" meets the claim of attempt "two"
      Then the claim of attempt "two" stands

  Rule: Faults at random

    Scenario: Repeats under random faults run at most once and are not lied to
      Given 2 agents and 2 routers
      When 40 keys are asked 4 times each under faults drawn with seed 7
      Then no key was executed twice
      And no key whose answers all say "not-run" was executed
      And each key with an answer of 200 was executed once
