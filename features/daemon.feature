Feature: A fleet of real processes serves callers
  Routers, agents, stand-ins and the platform each run as a process and speak
  over loopback.

  Scenario: Each kind of answer comes back whole
    Given a fleet of 2 router(s), 2 model worker(s) and 1 plain worker(s)
    When team "brno" sends a streamed chat through each router
    And team "brno" sends a whole chat through each router
    And team "brno" sends a completion through each router
    And team "brno" sends a plain call through each router
    Then each answer is the one that its worker ought to give

  Scenario: A prefix computed for one router's caller is reused by the other's
    # Routers that know other workers may choose another one: a router that
    # has just started serves before all its links are up.
    Given a fleet of 2 router(s), 3 model worker(s) and 0 plain worker(s)
    And each router has a link to every agent
    When team "brno" sends the same long chat through each router
    Then the second answer reused tokens

  Scenario: Operators see every process
    Given a fleet of 1 router(s), 1 model worker(s) and 1 plain worker(s)
    When an operator asks for the status as JSON
    Then lacewingctl exits with code 0
    And it lists a router in "brno-1" with bundle number 1
    And it lists an agent with the epoch of its worker
    When an operator asks for the status as a table
    Then lacewingctl exits with code 0
    And the table names each process

  Scenario: A process that gives no answer is named
    Given a fleet of 1 router(s), 1 model worker(s) and 0 plain worker(s)
    When "agent-diagnostic-1" is killed
    And an operator asks for the status as JSON
    Then lacewingctl exits with code 1
    And it names the address of "agent-diagnostic-1" as unanswered

  Scenario: lacewingctl says what it expects
    When an operator asks for the status without an address
    Then lacewingctl exits with code 2

  Scenario: SIGTERM to a router cuts no stream
    # Symptom: callers of a router that is replaced see half an answer.
    # Sequence: streams run, SIGTERM comes, the process ends.
    # Cause: listeners and links closed before the open requests ended.
    Given a fleet of 1 router(s), 2 model worker(s) and 0 plain worker(s)
    And 6 callers read streams of 60 tokens
    When "router-1" gets SIGTERM
    Then each caller gets its whole stream
    And "router-1" exits with code 0

  Scenario: SIGTERM to an agent cuts no stream and sends new work elsewhere
    # Symptom: streams on a worker that is replaced break, or new requests
    # are still sent there and fail.
    # Sequence: streams run on both workers, SIGTERM comes to one agent, a
    # new request comes.
    # Cause: the agent left without telling its routers, or too early.
    Given a fleet of 1 router(s), 2 model worker(s) and 0 plain worker(s)
    And 6 callers read streams of 60 tokens
    When "agent-diagnostic-1" gets SIGTERM
    And team "brno" sends a whole chat through each router
    Then each answer is the one that its worker ought to give
    And each caller gets its whole stream
    And "agent-diagnostic-1" exits with code 0

  Scenario: A second signal ends the process at once
    Given a fleet of 1 router(s), 1 model worker(s) and 0 plain worker(s)
    And 1 callers read streams of 100000 tokens
    When "router-1" gets SIGTERM
    And "router-1" says "main: Draining."
    And "router-1" gets SIGTERM
    Then "router-1" exits with code 143

  Scenario Outline: A drain that takes too long ends and says so
    Given a fleet with a drain period of 0.3 s
    And 1 callers read streams of 100000 tokens
    When "<name>" gets SIGTERM
    Then "<name>" exits with code 4

    Examples:
      | name               |
      | router-1           |
      | agent-diagnostic-1 |

  Scenario: A listen address in use is told by the exit code
    Given a fleet of 1 router(s), 1 model worker(s) and 0 plain worker(s)
    When a second router starts with the addresses of the first
    Then it exits with code 3

  Scenario: A restarted router serves its first request
    # Symptom: just after a restart callers get refusals.
    # Sequence: the router is killed and starts again; a request comes at
    # once.
    # Cause: it took callers before it had asked for the VM list.
    Given a fleet of 1 router(s), 2 model worker(s) and 0 plain worker(s)
    When "router-1" is killed
    And "router-1" starts again
    And team "brno" sends a streamed chat through each router
    Then each answer is the one that its worker ought to give

  Scenario: A router goes on with the last VM list while the platform is down
    Given a fleet of 1 router(s), 2 model worker(s) and 0 plain worker(s)
    When the platform of the fleet goes down
    And "router-1" says "members: VM list not read."
    And team "brno" sends a streamed chat through each router
    Then each answer is the one that its worker ought to give

  Scenario: A changed bundle file comes into force
    Given a fleet of 1 router(s), 1 model worker(s) and 0 plain worker(s)
    When the bundle file lets only team "ostrava" in
    And bundle number 2 is in force at "router-1"
    And team "brno" sends a whole chat through each router
    Then the answers have the status 401

  Scenario: A team over its limit is refused and told when to come back
    Given a fleet of 2 router(s), 0 model worker(s) and 2 plain worker(s)
    And team "brno" may send 1 requests a second
    When bundle number 2 is in force at "router-1"
    And bundle number 2 is in force at "router-2"
    And team "brno" sends 30 plain calls through each router
    Then some answers are whole and the others are refused for the limit

  Scenario: A wrong bundle file changes nothing
    Given a fleet of 1 router(s), 1 model worker(s) and 0 plain worker(s)
    When the bundle file is broken
    And "router-1" says "bundle: Bundle file refused."
    And team "brno" sends a whole chat through each router
    Then each answer is the one that its worker ought to give
    And bundle number 1 is in force at "router-1"

  Scenario: With TLS on all listeners each kind of answer comes back whole
    Given a fleet with TLS
    When team "brno" sends a streamed chat through each router
    And team "brno" sends a plain call through each router
    Then each answer is the one that its worker ought to give
    When an operator asks for the status as JSON
    Then lacewingctl exits with code 0

  Scenario: A peer without a certificate of the authority is refused
    # Symptom: anyone on the network opens a link and runs requests.
    # Sequence: a stranger connects to an agent's peers listener.
    # Cause: the listener asked for no certificate, or took any.
    Given a fleet with TLS
    Then a link with a certificate of the authority is taken
    And a link without a certificate is refused
    And a link with a certificate of another authority is refused

  Scenario: Nothing is left when a fleet ends
    Given a fleet of 1 router(s), 1 model worker(s) and 1 plain worker(s)
    When "router-1" is frozen
    And the fleet ends
    Then none of its processes runs
