Feature: Signed bundles reach every process of a fleet
  Routers, agents, stand-ins and the platform each run as a process. No
  daemon reads a bundle file.

  Scenario: A roll comes into force at routers and agents
    Given a fleet of 2 router(s) and 3 agent(s) with signed bundles
    When a bundle with team "ostrava" only is rolled
    Then roll 2 is in force at each process

  Scenario: A roll handed over spreads although the platform went down
    # Symptom: an accepted roll is in force nowhere until an outage ends.
    # Sequence: the platform accepts the roll and goes down before any
    # reader has read it.
    # Cause: the platform is the only way from the operator to the fleet.
    Given a fleet of 2 router(s) and 3 agent(s) with signed bundles
    When the platform goes down just after it accepted a roll
    And the operator hands the roll over
    Then roll 2 is in force at each process

  Scenario: A document that nobody signed is not taken
    Given a fleet of 1 router(s) and 1 agent(s) with signed bundles
    When a document of roll 9 without signatures is handed over
    Then the status of the answer is 422
    And roll 1 is in force at each process

  Scenario: A router started in an outage serves by its peers' bundle
    # Symptom: a router restarted in an outage refuses all callers.
    # Sequence: the platform is down, the router starts, a caller comes.
    # Cause: a cold process knows bundle and agents from the platform only.
    Given a fleet of 1 router(s) and 3 agent(s) with signed bundles
    When the platform of the fleet goes down
    And "router-1" is killed
    And "router-1" starts again
    And team "brno" sends a whole chat through each router
    Then each answer is the one that its worker ought to give

  Scenario: Operators see the members that a process knows
    Given a fleet of 1 router(s) and 2 agent(s) with signed bundles
    Then each process knows 3 members alive
    When "agent-diagnostic-1" is killed
    Then "router-1" knows 2 members alive and 1 dead
