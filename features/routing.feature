Feature: Requests go where their prefix is, at any age of knowledge
  A choice weighs what a worker holds, what waits there and what would be
  computed again. Wrong or missing knowledge costs time, never a wrong answer.

  Scenario: A prefix's name belongs to one team, model, adapter and weights
    Then no two owners of the same text share the name of any block

  Scenario: Hints of one team are not found for another's same prompt
    Given a router that learnt prompts of "rahmat" on every worker
    When "brno" asks with the same texts
    Then no hint is found

  Scenario: A hint of a dead engine counts for nothing
    # Symptom: after an engine's restart, requests queue there for a cache
    # that is empty.
    # Sequence: a router learns a prefix; the engine crashes and comes back
    # with another epoch; the same prefix is asked for.
    # Cause: the hint named the worker but not the engine's run.
    Given a router that learnt a prompt on the worker "agent-3"
    When the engine of "agent-3" comes back with another epoch
    Then nothing is expected to be held by "agent-3"

  Scenario: A late digest of a dead engine counts for nothing
    # Symptom: as above, though the router had dropped its own hints.
    # Sequence: an engine restarts; a digest of its former run arrives.
    # Cause: the digest was taken without a look at its epoch.
    Given a router without knowledge
    When a digest of an earlier epoch says that "agent-3" holds the prompt
    Then nothing is expected to be held by "agent-3"

  Scenario: Routers that know nothing agree on a worker
    # Symptom: after a herd of restarts the hit rate falls on all workers.
    # Sequence: all routers start cold; each sends a hot prefix to another
    # worker, and each of those computes it.
    # Cause: a choice that depends on what a router happened to learn.
    Then cold routers choose the same worker for any prompt of 16 blocks

  Scenario: A cold router agrees with one that learnt
    Given a router that served 200 prompts
    Then a cold router chooses as it does for 90 of 100 of these prompts

  Scenario: A worker that restarts changes the choice of its prefixes only
    Then without one of 40 workers only its own prefixes move

  Scenario: A prefix is where the last request was sent
    Given a router without knowledge
    When a request is sent and its twin comes before the first has ended
    Then both go to the same worker

  Scenario: An evicted prefix is no longer expected
    Given a router that learnt a prompt on the worker "agent-3"
    When a digest says that "agent-3" evicted the prompt
    Then nothing is expected to be held by "agent-3"

  Scenario: Hints age as fast as engines evict
    # Symptom: requests go to workers for prefixes long evicted.
    # Sequence: engines evict within two seconds; a router believes its
    # hints for ten.
    # Cause: the life of a hint was a constant.
    Given a router whose hits come short 10 times in a row
    Then its hints are believed for less than a third of the time

  Scenario: Late load reports cause no herd
    # Symptom: one worker after the other is flooded, two seconds apart.
    # Sequence: reports arrive 2 s late; one says idle; until the next one
    # every router sends all its requests there.
    # Cause: a late report is taken for the present, own requests are not
    # counted.
    Given 8 routers with the same reports, 2 s old, of one idle worker
    When each sends 10 requests of prefixes that nobody holds
    Then the idle worker gets at most 24 of the 80 requests

  Scenario: A full worker loses requests of a prefix that it holds
    Given a router that learnt a prompt on the worker "agent-3"
    When "agent-3" reports a backlog of 5000 ms
    Then the prompt goes to another worker

  Scenario: A burst of one prefix doesn't queue while others are idle
    # Symptom: of 40 streams of one prefix 8 are refused for their deadline
    # although another worker is idle.
    # Sequence: the streams come within one load report; all hit the cache.
    # Cause: requests were counted by the blocks they compute, here next to
    # none; the worker's slots were not counted.
    Given a router that learnt a prompt on the worker "agent-3"
    When 40 requests of it come at once to workers of 32 slots
    Then "agent-3" gets 32 of them and others the rest

  Scenario: A prefix asked to be wide has more homes, and fewer later
    Given a router without knowledge
    When answers ask for a width of 3
    Then the prompt has 3 homes, the first as before
    When answers ask for a width of 1
    Then the prompt has 1 home, the first as before

  Scenario: An explained choice carries each candidate's costs
    Given a router that learnt a prompt on the worker "agent-3"
    Then the choice lists 9 candidates, the chosen one of the lowest cost

  Scenario: Every policy can be selected and chooses an eligible worker
    Then each policy chooses one of the workers, and refuses without any
