Feature: An agent knows its engine's cache and tells what is worth it
  The engine's events come late and with gaps; what the agent tells the
  routers stays within the bytes that each of them allows.

  Scenario: Events in order give the engine's cache
    Then any events without a gap give the cache, known to be exact

  Scenario: A gap is noticed and the snapshot repairs it
    # Symptom: requests go to a worker for blocks that it evicted long ago.
    # Sequence: the engine evicts; the event is lost; others follow.
    # Cause: a lost eviction leaves its block in the view for ever.
    Then any lost event is noticed by the next one, and a snapshot repairs it

  Scenario: Another epoch empties the view
    Given a view of an engine's cache
    When an event of another epoch comes
    Then the view holds only what that event stored

  Scenario: A snapshot that events overtook is not taken
    # Symptom: blocks stored a moment ago are missing from the view.
    # Sequence: a snapshot is asked for; events arrive; the older snapshot
    # arrives after them.
    # Cause: the snapshot replaced what was newer.
    Given a view of an engine's cache
    When a snapshot comes that is older than the last event
    Then the view holds what the events said

  Scenario: The follower resynchronises after a gap
    Given an engine whose events 2 and 3 are lost
    When the agent follows it
    Then the agent's view becomes the engine's cache

  Scenario: The follower connects again after a break
    Given an engine whose event stream breaks after each event
    When the agent follows it
    Then the agent's view becomes the engine's cache

  Scenario: A router is told no more than it allows
    # Symptom: control traffic of a router grows with the fleet.
    # Sequence: caches change faster than the allowance lets tell.
    # Cause: each change was sent as it came.
    Then for any changes the bytes told stay within the allowance

  Scenario: What changed twice is told once, as it is now
    Given a router that allows 200 bytes a second
    When a level is stored, evicted and stored again
    Then the router is told once that it is stored

  Scenario: Levels used once are not told
    Given an agent that served a prompt once
    When the engine stores the prompt's levels
    Then no level is told
    When the prompt is served again
    Then its shared levels are told as stored

  Scenario: A hot prefix is spread, and gathered again
    # Symptom: one worker queues while others idle; or a prefix stays on
    # many workers after its hour has passed.
    # Sequence: demand for one prefix rises above one worker, then falls.
    # Cause: the width was fixed, or only ever grew.
    Given an agent whose worker spends 90 percent of its time on a prefix
    Then its answers ask for one worker more
    When the prefix is quiet for 20 seconds
    Then its answers ask for fewer workers, down to one

  Scenario: The width rests between its two bounds
    Given an agent whose worker spends 50 percent of its time on a prefix
    Then its answers ask for as many workers as the router uses

  Scenario: What the store keeps is imported while that is cheaper
    Given a store that keeps all shared levels of a prompt
    When the prompt is about to run where nothing is cached
    Then the engine imports the shared levels

  Scenario: An import that is dearer than computing is not made
    Given a store that keeps all shared levels of a prompt
    And imports that take longer than computing
    When the prompt is about to run where nothing is cached
    Then the engine imports nothing

  Scenario: A store that fails costs a recomputation, not the answer
    Given a store that does not answer
    When the prompt is about to run where nothing is cached
    Then the engine imports nothing

  Scenario: A store that answers nonsense costs a recomputation
    # Symptom: requests fail with an internal error while the store is ill.
    # Sequence: the store answers 200 with a page that is not its JSON.
    # Cause: the decoding error went up through the request's task.
    Given a store that answers with an HTML page
    When the prompt is about to run where nothing is cached
    Then the engine imports nothing

  Scenario: What came again is exported once
    Given a store that keeps nothing
    When the prompt is served 3 times
    Then the shared levels are exported once

  Scenario: Twins compute their prefix once
    # Symptom: tokens wasted after each eviction of a hot prefix.
    # Sequence: two requests of one prefix enter the engine's batch together.
    # Cause: the engine looks up the cache when a request enters.
    Given a prompt that is being computed
    When its twin is about to run
    Then the twin waits until the first one's first token

  Scenario: A prefix whose request fails holds nobody up
    Given a prompt that is being computed
    When its twin is about to run
    And the first one fails
    Then the twin goes on

  Scenario: One engine's cache serves another through the store
    Given real engines "one" and "two" and a store between them
    And agents that follow the caches of both
    When "one" serves a prompt and its agent exports it
    And the agent of "two" imports it
    Then the agent of "two" sees the prompt's blocks cached

  Scenario: A crashed engine's blocks are forgotten
    # Symptom: requests go to an engine that came back empty.
    # Sequence: the engine crashes; its event stream breaks; it comes back
    # with another epoch and an empty cache.
    # Cause: the view outlived the epoch that it described.
    Given real engines "one" and "two" and a store between them
    And agents that follow the caches of both
    When "one" serves a prompt and its agent exports it
    And "one" crashes and comes back
    Then the agent of "one" sees an empty cache of the new epoch
