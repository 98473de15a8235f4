@slow
Feature: Promises hold under faults, alone and two at once
  All processes are real; what ran is counted by the stand-in workers and what
  was answered by the callers. `make chaos` draws such faults at random; what
  it finds becomes a scenario here or beside the part that was mended.

  Scenario: Engines that crash amid streams lose none
    # Symptom: half an answer. Sequence: streams run on three engines, two
    # crash and come back empty. Cause: what an engine was computing is gone,
    # and nobody goes on from the text so far.
    Given 2 routers, 3 engines and 0 plain workers
    And 6 callers read streams of 60 tokens
    When the busiest engine crashes
    And the busiest engine crashes
    Then each caller gets its whole stream

  Scenario: An engine that crashes twice loses no stream
    # Symptom: half an answer, or words twice. Sequence: an engine crashes,
    # comes back, gets the rest of its streams again and crashes once more.
    # Cause: a continuation that can itself not be continued.
    Given 1 routers, 2 engines and 0 plain workers
    And 4 callers read streams of 80 tokens
    When the busiest engine crashes, and again as soon as it is back
    And the busiest engine crashes
    Then each caller gets its whole stream

  Scenario: An engine crashes while the platform is down
    # Symptom: requests fail for as long as the outage lasts. Sequence: the
    # platform goes down, an engine crashes, streams must go on elsewhere and
    # new requests come. Cause: a way to another engine that asks the platform.
    Given 2 routers, 2 engines and 0 plain workers
    And 4 callers read streams of 60 tokens
    When the platform has the faults {"down": "drop"}
    And the busiest engine crashes
    Then each caller gets its whole stream
    And each router answers a chat at its first request

  Scenario: An engine that lost its cache and its events is not relied on
    # Symptom: an answer made of stale blocks, or a request that fails because
    # the cache is not there. Sequence: no event tells what is stored, the
    # engine crashes and is asked again. Cause: hints taken for knowledge.
    Given 1 routers, 1 engines and 0 plain workers
    And each engine has the faults {"lose_events": {"share": 1.0, "seed": 1}}
    When team "brno" sends the same long chat through each router
    And worker "diagnostic-1" crashes
    And team "brno" sends the same long chat through each router
    Then each answer is the one that its worker ought to give

  Scenario: A paused engine whose streams are late and cut doubles no word
    # Symptom: words twice, or missing. Sequence: streams are cut, their engine
    # is paused, answers come late. Cause: a stream taken up from the wrong
    # number, or an old reader that still sends.
    Given 1 routers, 2 engines and 0 plain workers
    And each engine has the faults {"cut": {"after_tokens": 9, "requests": 4}, "late": {"delay_s": 0.4, "requests": 2}}
    And 6 callers read streams of 60 tokens
    When the busiest engine is paused for 1.5 s
    Then each caller gets its whole stream

  Scenario: Crossed answers over links that break reach nobody else
    # Symptom: a caller reads another's answer. Sequence: an engine swaps
    # the answers of concurrent requests while its agent is frozen for so long
    # that the router gives the link up; both come back late. Cause: an answer
    # taken by its place in a connection and not by its id.
    Given 1 routers, 2 engines and 0 plain workers
    And each engine has the faults {"crossed": {"requests": 4, "hold_s": 0.3, "headers": false}}
    When 4 callers begin streams of 250 tokens through "router-1"
    And the agent of the busiest engine is frozen
    And "router-1" says "link: Link is down."
    And the agent of its worker is thawed
    Then all begun chats are answered

  Scenario: A herd of routers comes back to new hot prefixes
    # Symptom: refusals, or an engine that takes all. Sequence: all routers are
    # killed at once and start with nothing known, while callers ask on
    # prefixes that nobody has computed. Cause: a start that waits for
    # knowledge; reads of the platform by every router at once.
    Given 3 routers, 3 engines and 0 plain workers
    When all routers are killed and start again
    And 8 callers ask questions on new prefixes through each router
    Then all begun chats are answered
    And the routers read the VM list at most 30 times

  Scenario: A herd of routers comes back while the platform is down
    # Symptom: no request is served until the platform is back. Sequence: the
    # platform goes down, all routers are killed and start again. Cause: a start
    # that needs the platform for members or for the bundle.
    Given 2 routers, 2 engines and 0 plain workers
    When the platform has the faults {"down": "drop"}
    And all routers are killed and start again
    Then each router answers a chat at its first request

  Scenario: A call that can't be claimed is refused as not run, and did not
    # Symptom: a recall check is answered twice. Sequence: the platform is
    # down, a check is refused as not run, the caller asks again. Cause: a call
    # that runs before its claim stands.
    Given 2 routers, 0 engines and 2 plain workers
    And the platform has the faults {"down": "refuse"}
    When a recall check "c1" through "router-1" ends as "refused"
    Then the recall check "c1" ran 0 time(s)
    When the platform has the faults {}
    Then the recall check "c1" is answered when it is repeated
    And the recall check "c1" ran 1 time(s)

  Scenario: Repeats that meet lost answers of the platform run once
    # Symptom: a recall check is answered twice. Sequence: two callers send it
    # through two routers, the platform loses every answer after its effect.
    # Cause: a claim of one's own that is not known again, or one of another
    # taken for one's own.
    Given 2 routers, 0 engines and 2 plain workers
    And the platform has the faults {"lose_share": 0.7, "seed": 5}
    When a recall check "c2" is begun through "router-1"
    Then the recall check "c2" is answered when it is repeated
    And the recall check "c2" ran 1 time(s)

  Scenario: A paused holder of a claim and lost answers run a call once
    # Symptom: a recall check is answered twice. Sequence: an agent claims it,
    # runs it and is frozen, unaware; the caller asks again through another
    # router while the platform loses answers; the agent goes on. Cause: a claim
    # that another may take over, or a holder that goes on without it.
    Given 2 routers, 0 engines and 2 plain workers
    And each plain worker has the faults {"late": {"delay_s": 0.5, "requests": 1}}
    When a recall check "c3" is begun through "router-1"
    And the recall check "c3" runs
    And the agent of its worker is frozen
    And the platform has the faults {"lose_share": 0.5, "seed": 6}
    And the recall check "c3" is begun again through "router-2"
    And "router-1" says "link: Link is down."
    And the agent of its worker is thawed
    Then the recall check "c3" is answered when it is repeated
    And the recall check "c3" ran 1 time(s)

  Scenario: A crossed answer is kept whole for a repeat
    # Symptom: the repeat of a recall check gets 200 and an empty body (chaos
    # seeds 203 and 204). Sequence: a worker crosses the answers of two checks,
    # the agent gives each to its own, the callers ask again. Cause: an answer
    # that came on another connection was not copied into the claim.
    Given 2 routers, 0 engines and 1 plain workers
    And each plain worker has the faults {"crossed": {"requests": 2, "hold_s": 5.0}}
    When a recall check "c8" is begun through "router-1"
    And a recall check "c9" is begun through "router-2"
    Then the begun recall check "c8" ends as "right"
    And the begun recall check "c9" ends as "right"
    And a recall check "c8" through "router-2" ends as "right"
    And a recall check "c9" through "router-1" ends as "right"
    And the recall check "c8" ran 1 time(s)
    And the recall check "c9" ran 1 time(s)

  Scenario: A call whose agent is killed is not run again
    # Symptom: a recall check is answered twice. Sequence: an agent is killed
    # while its worker runs the check, and comes back with nothing known; the
    # caller asks again. Cause: a claim without an outcome is taken for one
    # that never ran.
    Given 2 routers, 0 engines and 2 plain workers
    And each plain worker has the faults {"late": {"delay_s": 1.0, "requests": 1}}
    When a recall check "c4" is begun through "router-1"
    And the recall check "c4" runs
    And the agent of its worker is killed
    And the agent of its worker is restarted
    Then the begun recall check "c4" ends as "failed"
    And a recall check "c4" through "router-2" ends as "failed"
    And the recall check "c4" ran 1 time(s)

  Scenario: A call whose router is killed is answered through another one
    # Symptom: a recall check is lost, or answered twice. Sequence: a router is
    # killed while its agent runs the check; the caller asks again with its
    # key. Cause: a run whose outcome only the dead router was to keep.
    Given 2 routers, 0 engines and 2 plain workers
    And each plain worker has the faults {"late": {"delay_s": 1.0, "requests": 1}}
    When a recall check "c5" is begun through "router-1"
    And the recall check "c5" runs
    And "router-1" is killed
    Then a recall check "c5" through "router-2" ends as "right"
    And the recall check "c5" ran 1 time(s)

  Scenario: A caller that hung up gets the outcome when it comes back
    # Symptom: a recall check is run again, or its outcome is lost. Sequence:
    # the caller hangs up while it runs, and asks again elsewhere. Cause: a
    # call stopped or forgotten because its caller went.
    Given 2 routers, 0 engines and 2 plain workers
    And each plain worker has the faults {"late": {"delay_s": 1.0, "requests": 1}}
    When a caller hangs up on the recall check "c6" through "router-1"
    Then the recall check "c6" is answered when it is repeated
    And the recall check "c6" ran 1 time(s)

  Scenario: A call whose worker crashes is not called not-run
    # Symptom: a refusal says not-run, and the check has run. Sequence: the
    # worker crashes after it began. Cause: a broken connection taken for one
    # that never carried the request.
    Given 1 routers, 0 engines and 2 plain workers
    And each plain worker has the faults {"late": {"delay_s": 2.0, "requests": 1}}
    When a recall check "c7" is begun through "router-1"
    And the recall check "c7" runs
    And its worker crashes
    Then the begun recall check "c7" ends as "failed"
    And a recall check "c7" through "router-1" ends as "failed"
    And the recall check "c7" ran 1 time(s)

  Scenario: A VM that the platform lists as leaving gets no new work
    # Symptom: requests fail as a VM goes. Sequence: the platform's list says
    # that it leaves while streams run there; the platform goes down; its agent
    # is told to end. Cause: a notice that is not passed on, or streams that are
    # cut with it.
    Given 2 routers, 2 engines and 0 plain workers
    And 4 callers read streams of 150 tokens
    When the platform lists the agent of the busiest engine as leaving
    And no new work reaches that engine any more
    And the platform has the faults {"down": "refuse"}
    And the agent of its worker is told to end
    Then each caller gets its whole stream
    And the agent of its worker ends with code 0
    And each router answers a chat at its first request

  Scenario: A VM that vanishes without a word costs no request
    # Symptom: requests fail until the list shows that a VM is gone. Sequence:
    # an agent is killed and does not come back. Cause: an agent that is
    # chosen because a list still names it.
    Given 2 routers, 2 engines and 0 plain workers
    And 4 callers read streams of 60 tokens
    When the agent of the busiest engine is killed
    Then each caller gets its whole stream
    And each router answers a chat at its first request

  Scenario: A router that drains cuts no stream that its engine cuts
    # Symptom: half an answer from a router that is replaced. Sequence: it
    # drains while engines cut streams, which must be taken up or go on
    # elsewhere. Cause: a drain that refuses its own open requests a retry.
    Given 1 routers, 2 engines and 0 plain workers
    And each engine has the faults {"cut": {"after_tokens": 12, "requests": 3}}
    And 6 callers read streams of 60 tokens
    When "router-1" gets SIGTERM
    And the busiest engine crashes
    Then each caller gets its whole stream
    And "router-1" exits with code 0
