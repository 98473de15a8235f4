Feature: A task of an agent, or of a router with agents, that fails goes on

  Scenario: Tasks that exchange members and documents
    # Guards against a process that no longer learns of members and rolls.
    Given each task fails once at its start
    And 4 peers
    When "p1" accepts version 1 of the bundle
    Then version 1 is active at all peers
    And each task that failed runs again, among them "gossip, urgent gossip"

  Scenario: Tasks that write claims
    # Guards against calls that are refused for good by an agent whose writer
    # of claims has ended.
    Given each task fails once at its start
    And 2 agents and 2 routers
    When a caller asks through router 1 with key "a"
    Then the answer is 200, not replayed
    When a caller asks through router 2 with key "a"
    Then the answer is 200, replayed, and equals the first
    And each task that failed runs again, among them "claims"

  Scenario Outline: Tasks that hold the connections to agents
    # Guards against an agent that gets no requests of a router any more.
    Given each task fails once <when>
    And a router whose bundle has the teams "rahmat" and "brno"
    And an agent of "tutor" that answers
    When "rahmat" asks the model "handbook"
    Then the status is 200 and the verdict is "ran"
    And each task that failed runs again, among them "agent link, limits"

    Examples:
      | when         |
      | at its start |
      | after 0.3 s  |
