Feature: Routers tell each other their load at engines

  Rule: Decisions by the load of all routers beat bounds on one's own

    Scenario Outline: 22 routers send prompts to 20 engines
      # Guards against engines that queue seconds of prefill while others are
      # free, as each router sees only its own prompts and allows itself two
      # at each engine.
      Given 22 routers that share 20 engines
      When prompts need <load> times the capacity, told every <interval> seconds
      Then at least <percent> percent of it is answered in time
      And at least <factor> times as much as by the bounds

      Examples:
        | load | interval | percent | factor |
        | 0.7  | 0.66     | 96      | 0.98   |
        | 0.9  | 0.66     | 85      | 1.05   |
        | 1.3  | 0.66     | 40      | 2.0    |

    Scenario: Routers that see the same free engine do not all send there
      # Guards against a queue at the engine that was free in the last
      # messages: with equal news, every router finds the same engine best.
      Given 22 routers that share 20 engines
      When prompts need 1.3 times the capacity, told every 0.66 seconds
      Then at least 1.2 times as much is late if each compares all engines

  Rule: What is known of others ages

    Scenario: Waiting prompts of others drain, the most urgent first
      Given a router told that 4000 urgent and 2000 less urgent tokens wait
      Then after 0 ms 4000 urgent and 2000 less urgent tokens wait
      And after 30 ms 1000 urgent and 2000 less urgent tokens wait
      And after 50 ms 0 urgent and 1000 less urgent tokens wait

    Scenario Outline: The bounds apply again without news of enough routers
      # Guards against decisions by old news at a router that is cut off from
      # its peers, and by news of a few that hide the load of the rest.
      Given a router with <peers> peers of which <heard> told their load
      Then the load of others is <known> after <ms> ms

      Examples:
        | peers | heard | ms   | known   |
        | 10    | 10    | 300  | known   |
        | 10    | 10    | 1600 | unknown |
        | 10    | 7     | 300  | known   |
        | 10    | 5     | 300  | unknown |
        | 0     | 0     | 0    | unknown |

  Rule: An engine that no router reaches gets no requests but probes

    Scenario Outline: Failures and data of several routers
      # Guards against engines without power that each of 22 routers finds by
      # itself, and against live engines that one router's fault excludes.
      Given 20 engines and routers "a", "b" and "c"
      When it is observed that <events>
      Then the first engine is <state>

      Examples:
        | events                                             | state       |
        | a fails to connect                                 | unreachable |
        | a fails to connect, b gets data                    | reachable   |
        | b gets data, a fails to connect                    | unreachable |
        | a detects a silence                                | reachable   |
        | a detects a silence, b detects a silence           | unreachable |
        | a fails to connect, 7 s pass                       | reachable   |
        | a fails to connect to all engines                  | reachable   |
        | a fails to connect to all engines, b fails to connect | unreachable |

    Scenario: About one probe a second of all routers together
      # Guards against 22 callers a second whose requests wait for an engine
      # that was removed.
      Given 22 routers that know of an unreachable engine
      Then one of them may probe it in each of 50 seconds
      And each of them probes at most 9 times
      And none sends a request that can't be retried to a silent one

  Rule: Messages may be lost, late, unknown or malformed

    Scenario: A message that was overtaken is dropped
      # Guards against old news that replace newer ones after a router froze.
      Given a router that exchanges messages
      When messages 5, 7, 6 and 7 of "a" arrive
      Then the sections of messages 5 and 7 are applied

    Scenario: A router that starts again is heard at once
      # Guards against a restarted router whose sequence begins anew.
      Given a router that exchanges messages
      When a router sends 20 messages in 3 seconds, and starts again
      Then its first message then has a higher sequence

    Scenario: A malformed section leaves the others valid
      # Guards against the loss of all news between versions of the software.
      Given a router that exchanges messages
      When a message with a malformed, an unknown and a valid section arrives
      Then only the valid section is applied

    Scenario: A router that was killed is forgotten
      # Guards against load that stays counted after its router is gone.
      Given a router that exchanges messages
      When messages 5, 7, 6 and 7 of "a" arrive
      And 2.1 seconds pass without another
      Then "a" is forgotten

    Scenario: A peer that does not read delays nobody
      # Guards against a frozen router that holds up the news for all others,
      # and against a queue of old news for it.
      Given a router whose peer "slow" takes no message and "fast" takes all
      When it has 5 messages for them
      Then "fast" got messages 1 to 5
      And "slow" gets only message 5 once it reads

  Rule: Routers on loopback

    Scenario: Loads arrive, and those of a lost router are forgotten
      # Guards against a router that waits for, or counts, a lost one.
      Given 4 routers with links, one of them without the exchange
      When a prompt of 3000 tokens is sent by the first
      Then the second knows of 3000 to 3031 tokens in flight
      And the second knows of none once the first is closed

    Scenario: Nothing is sent while no service is contended
      # Guards against cost where the exchange is of no use.
      Given 4 routers with links, one of them without the exchange
      When no service is contended
      Then no message is sent

  Rule: Placement uses the load of others for contended services only

    Scenario Outline: Two engines, and others' load at the preferred one
      # Guards against prompts behind work of others, at engines without
      # memory or slots, and against other decisions where capacity is plenty.
      Given a <kind> service where others have <load> at the preferred engine
      Then a prompt goes to the <chosen> engine

      Examples:
        | kind        | load                   | chosen    |
        | contended   | nothing                | preferred |
        | contended   | 30000 waiting tokens   | other     |
        | contended   | 8 requests in flight   | other     |
        | contended   | 90000 tokens in memory | other     |
        | contended   | a failure to connect   | other     |
        | contended   | stale waiting tokens   | preferred |
        | uncontended | 30000 waiting tokens   | preferred |
        | uncontended | a failure to connect   | preferred |

    Scenario: More than two prompts of one router wait at an engine
      # Guards against refusals by bounds that stand for unknown load.
      Given a contended service where others have nothing at the preferred engine
      When 3 prompts of 100 tokens of this router wait at each engine
      Then a prompt goes to the preferred engine

    Scenario Outline: The interval keeps to the bounds on cost
      Then <peers> peers are told <bytes> bytes every <ms> ms

      Examples:
        | peers | bytes | ms   |
        | 3     | 100   | 150  |
        | 21    | 85    | 656  |
        | 24    | 115   | 750  |
        | 24    | 400   | 1000 |

    Scenario: 330 routers form groups that all agree on
      # Guards against cost that grows with the number of routers.
      Then each of 330 routers tells at most 32 peers, which tell it too
