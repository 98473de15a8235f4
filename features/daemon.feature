@slow
Feature: A fleet of real processes serves callers
  Routers, agents, fake workers and a fake platform run as processes that
  communicate over loopback.

  Scenario: Each kind of answer is complete
    Given a fleet of 2 router(s), 2 model worker(s) and 1 plain worker(s)
    When team "brno" sends a streamed chat through each router
    And team "brno" sends a whole chat through each router
    And team "brno" sends a completion through each router
    And team "brno" sends a plain call through each router
    Then each answer is the one that its worker ought to give

  Scenario: A prefix computed for one router is reused by another
    # Routers that know different workers may choose different ones. A router
    # serves requests before all its links are up, so the test waits for them.
    Given a fleet of 2 router(s), 3 model worker(s) and 0 plain worker(s)
    And each router has a link to every agent
    When team "brno" sends the same long chat through each router
    Then the second answer reused tokens

  Scenario: The status lists every process
    Given a fleet of 1 router(s), 1 model worker(s) and 1 plain worker(s)
    When an operator asks for the status as JSON
    Then lacewingctl exits with code 0
    And it lists a router in "brno-1" with bundle number 1
    And it lists an agent with the epoch of its worker
    When an operator asks for the status as a table
    Then lacewingctl exits with code 0
    And the table names each process

  Scenario: The status names a process that does not answer
    Given a fleet of 1 router(s), 1 model worker(s) and 0 plain worker(s)
    When "agent-diagnostic-1" is killed
    And an operator asks for the status as JSON
    Then lacewingctl exits with code 1
    And it names the address of "agent-diagnostic-1" as unanswered

  Scenario: The status requires an address
    When an operator asks for the status without an address
    Then lacewingctl exits with code 2

  Scenario: SIGTERM to a router interrupts no stream
    # Callers of a replaced router got incomplete answers if it closed its
    # listeners and links on SIGTERM before the open requests had ended.
    Given a fleet of 1 router(s), 2 model worker(s) and 0 plain worker(s)
    And 6 callers read streams of 60 tokens
    When "router-1" gets SIGTERM
    Then each caller gets its whole stream
    And "router-1" exits with code 0

  Scenario: SIGTERM to an agent interrupts no stream and redirects new work
    # Two workers run streams, one agent gets SIGTERM, and a new request
    # arrives. If the agent stops without notifying its routers, new requests
    # are still sent to it and fail; if it stops too early, its streams break.
    Given a fleet of 1 router(s), 2 model worker(s) and 0 plain worker(s)
    And 6 callers read streams of 60 tokens
    When "agent-diagnostic-1" gets SIGTERM
    And team "brno" sends a whole chat through each router
    Then each answer is the one that its worker ought to give
    And each caller gets its whole stream
    And "agent-diagnostic-1" exits with code 0

  Scenario: A second signal ends the process immediately
    Given a fleet of 1 router(s), 1 model worker(s) and 0 plain worker(s)
    And 1 callers read streams of 100000 tokens
    When "router-1" gets SIGTERM
    And "router-1" says "main: Draining."
    And "router-1" gets SIGTERM
    Then "router-1" exits with code 143

  Scenario Outline: A drain that exceeds its period ends with its own exit code
    Given a fleet with a drain period of 0.3 s
    And 1 callers read streams of 100000 tokens
    When "<name>" gets SIGTERM
    Then "<name>" exits with code 4

    Examples:
      | name               |
      | router-1           |
      | agent-diagnostic-1 |

  Scenario: A listen address in use has its own exit code
    Given a fleet of 1 router(s), 1 model worker(s) and 0 plain worker(s)
    When a second router starts with the addresses of the first
    Then it exits with code 3

  Scenario: A restarted router serves its first request
    # A router that accepted callers before it had requested the VM list
    # refused requests that arrived just after it was killed and restarted.
    Given a fleet of 1 router(s), 2 model worker(s) and 0 plain worker(s)
    When "router-1" is killed
    And "router-1" starts again
    And team "brno" sends a streamed chat through each router
    Then each answer is the one that its worker ought to give

  Scenario Outline: SIGHUP while a daemon starts
    # Guards against SIGHUP that ends a process without a handler for it yet.
    Given a fleet of 1 router(s), 1 model worker(s) and 0 plain worker(s)
    When "<name>" is killed
    And "<name>" starts again and gets SIGHUP once it has used a processor for <moment> s
    And "<name>" says "main: Listening."
    And team "brno" sends a streamed chat through each router
    Then each answer is the one that its worker ought to give

    Examples:
      | name               | moment |
      | router-1           | 0.05   |
      | router-1           | 0.2    |
      | router-1           | 0.4    |
      | agent-diagnostic-1 | 0.1    |
      | agent-diagnostic-1 | 0.3    |

  Scenario: A router keeps the last VM list while the platform is down
    Given a fleet of 1 router(s), 2 model worker(s) and 0 plain worker(s)
    When the platform of the fleet goes down
    And "router-1" says "members: VM list not read."
    And team "brno" sends a streamed chat through each router
    Then each answer is the one that its worker ought to give

  Scenario: A changed bundle file becomes active
    Given a fleet of 1 router(s), 1 model worker(s) and 0 plain worker(s)
    When the bundle file lets only team "ostrava" in
    And bundle number 2 is in force at "router-1"
    And team "brno" sends a whole chat through each router
    Then the answers have the status 401

  Scenario: A team over its limit is refused with a retry delay
    Given a fleet of 2 router(s), 0 model worker(s) and 2 plain worker(s)
    And team "brno" may send 1 requests a second
    When bundle number 2 is in force at "router-1"
    And bundle number 2 is in force at "router-2"
    And team "brno" sends 30 plain calls through each router
    Then some answers are whole and the others are refused for the limit

  Scenario: An invalid bundle file is ignored
    Given a fleet of 1 router(s), 1 model worker(s) and 0 plain worker(s)
    When the bundle file is broken
    And "router-1" says "bundle: Bundle file refused."
    And team "brno" sends a whole chat through each router
    Then each answer is the one that its worker ought to give
    And bundle number 1 is in force at "router-1"

  Scenario: Each kind of answer is complete with TLS on all listeners
    Given a fleet with TLS
    When team "brno" sends a streamed chat through each router
    And team "brno" sends a plain call through each router
    Then each answer is the one that its worker ought to give
    When an operator asks for the status as JSON
    Then lacewingctl exits with code 0

  Scenario: A peer without a certificate of the authority is refused
    # If an agent's listener for peers requires no certificate or accepts any,
    # everyone on the network can open a link and run requests.
    Given a fleet with TLS
    Then a link with a certificate of the authority is accepted
    And a link without a certificate is refused
    And a link with a certificate of another authority is refused

  Scenario: No process is left when a fleet ends
    Given a fleet of 1 router(s), 1 model worker(s) and 1 plain worker(s)
    When "router-1" is frozen
    And the fleet ends
    Then none of its processes runs
