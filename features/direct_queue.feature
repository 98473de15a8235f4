Feature: Requests of contended services wait at the router

  Rule: The order in which requests leave the queue

    Scenario Outline: Two requests of one service
      Given a request of urgency <urgency> from "<team>" that is on time until <target> s
      And a request of urgency <urgency 2> from "<team 2>" that is on time until <target 2> s
      And team "south" has received 1000 tokens
      Then at 2 s the <order> goes first

      Examples:
        | urgency | team  | target | urgency 2 | team 2 | target 2 | order  |
        | 0       | south | 1      | 2         | north  | 3        | first  |
        | 0       | north | 1      | 0         | south  | 3        | second |
        | 0       | south | 3      | 0         | north  | 4        | second |
        | 0       | north | 3      | 0         | north  | 4        | first  |

    Scenario: A place is reserved for the less urgent
      # Guards against a kind that starves while more urgent requests always
      # wait.
      Given a request of urgency 0 from "north" that is on time until 9 s
      And a request of urgency 2 from "north" that is on time until 3 s
      Then the second goes first once its tokens are reserved

    Scenario: A full queue keeps the more urgent
      # Guards against a burst of a less urgent kind that shuts out the others.
      Given a queue with room for 3 requests that holds 3 of urgency 2
      When a request of urgency 0 joins it
      Then a request of urgency 2 is refused and 3 wait

    Scenario Outline: What can't be served before its deadline is refused at once
      # Guards against callers that wait for their deadline in vain.
      Given a queue whose requests leave at <rate> tokens a second
      And <ahead> requests of 1000 tokens wait there
      When a request with 5 s left joins it and engines offer <offer> s
      Then it <result>

      Examples:
        | rate  | ahead | offer | result                              |
        | 10000 | 20    | 1     | waits                               |
        | 1000  | 20    | 1     | is refused as "backlog" within 16 s |
        | 10000 | 0     | 6     | is refused as "no_engine" within 2 s |
        | 10000 | 0     | 1     | waits                               |

  Rule: Under load more callers are answered, and more of them in time

    Scenario Outline: A load at engines that can't serve all of it in time
      # Guards against a queue that makes all requests late, or that serves
      # the less urgent before the urgent.
      When the load "<load>" is played by each rule
      Then with the queue more are in time than when refused early
      And more are served
      And no kind is served less than a less urgent one

      Examples:
        | load     |
        | burst    |
        | flood    |
        | starving |

    Scenario: A burst of a less urgent kind with long prompts
      # Guards against urgent requests that are late behind others' long
      # prompts, and against requests that time out at live engines.
      When the load "burst" is played by each rule
      Then 0.99 of "query" are in time and 0.99 are served
      And 0.9 of "audit" are in time and 0.98 are served

    Scenario: Two of 16 teams send six times their usual
      # Guards against teams that pay with late answers for what others send.
      When the load "flood" is played by each rule
      Then 0.95 of "audit" of the other teams are in time

    Scenario: The urgent kind alone is more than the engines can serve
      # Guards against a kind that starves.
      When the load "starving" is played by each rule
      Then 0.05 of "audit" are in time and 0.05 are served

  Rule: Teams share by the service that they have received

    Scenario: An idle team gains no credit
      Given team "north" has received 9000 tokens
      And team "south" has received 5000 tokens
      When team "east" becomes active
      Then "east" counts 5000 tokens

    Scenario: Routers add each other's service once
      # Guards against service that is counted twice or echoed.
      Given team "north" has received 9000 tokens
      When the counters are sent to another router and back
      Then "north" counts 9000 tokens at both

    Scenario Outline: What a peer sends by mistake is bounded
      Given team "north" has received 9000 tokens
      When a peer sends <tokens> tokens of "north"
      Then "north" counts <counted> tokens

      Examples:
        | tokens | counted  |
        | nan    | 9000     |
        | 1e300  | 10009000 |
        | -1e300 | 0        |

  Rule: What ends leaves nothing behind in the queue

    Scenario Outline: A wait that ends
      # Guards against places that are held by requests which no longer wait.
      Given 3 requests that wait for engines without capacity
      When <event>
      Then all have ended as "<result>"
      And the queue is empty and no timer runs

      Examples:
        | event                    | result    |
        | their callers leave      | cancelled |
        | the queue is closed      | draining  |
        | their deadline is over   | deadline  |
        | choosing an engine fails | error     |

    Scenario: One is placed at a time
      # Guards against requests that are all sent to the same idle engine.
      Given 3 requests that wait for engines without capacity
      When an engine takes one request at a time
      Then the requests were placed one after the other in their order
      And the queue is empty and no timer runs

  Rule: A router serves by its queue where a service is contended

    Background:
      Given a store with a configuration
      And an engine "eng-1" of software "v1"
      And a direct router

    Scenario Outline: A request that can only be late
      # Guards against callers that are refused although an engine is idle.
      Given the service is <state>
      When a caller sends a prompt of 200000 tokens
      Then it gets <status>

      Examples:
        | state         | status |
        | contended     | 200    |
        | not contended | 503    |

    Scenario: A request waits for an engine that prefills
      Given the service is contended
      And an engine that prefills a long prompt
      When a caller's prompt waits at the router
      And the engine has prefilled
      Then both are answered
      And the log and lacewingctl tell how long the second waited

    Scenario: A stop refuses what waits as not run
      Given the service is contended
      And an engine that prefills a long prompt
      When a caller's prompt waits at the router
      And the router stops
      Then the waiting caller gets 503 and its prompt was not sent

    Scenario: A caller that leaves is not sent to an engine
      Given the service is contended
      And an engine that prefills a long prompt
      When a caller's prompt waits at the router
      And that caller leaves
      And the engine has prefilled
      Then nothing waits and its prompt was not sent

    Scenario Outline: What must not be sent after its wait
      # Guards against requests that crash more upstreams, and against keys
      # that are used long after they were taken away, as both are checked
      # before the wait.
      Given the service is contended
      And an engine that prefills a long prompt
      When a caller's prompt waits at the router
      And meanwhile <event>
      And the engine has prefilled
      Then the waiting caller gets <status> and its prompt was not sent

      Examples:
        | event                  | status |
        | its prompt is blocked  | 503    |
        | its key is taken away  | 401    |

    Scenario: Engines that refuse are asked again only when usable
      # Guards against requests that are refused after four sends within a few
      # ms, and against more sends the more engines refuse.
      Given the service is contended
      And the engine refuses 2 requests
      When a caller sends a prompt of 300 tokens
      Then it gets 200
      And 3 sends reached the only engine, at least 100 ms apart
