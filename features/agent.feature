Feature: An agent stands for its worker
  It runs each attempt at most once, hands over each byte of its answer once
  and in order, and never says "not run" of what may have run.

  Rule: What is asked comes back whole

    Scenario: A stream arrives event by event with what it reused
      Given an agent beside a model worker
      When "r1" starts stream 1
      Then "r1" has the whole stream 1, each byte once
      And the end of 1 for "r1" reports 2 of 3 blocks reused by "epoch-1"

    Scenario: A whole answer larger than the window arrives by confirmations
      Given an agent beside a model worker
      And the worker's body has 1000000 bytes
      When "r1" starts whole 1
      Then "r1" gets no more than the window of 1 unconfirmed
      When "r1" confirms 1 as it comes
      Then "r1" has the whole answer 1

    Scenario: A plain call arrives with its service's own status
      Given an agent beside a plain worker
      When "r1" starts call 1
      Then "r1" has the answer "done " to call 1

    Scenario: Small frames leave at once
      # Symptom: each step of a request takes 40 ms more.
      # Sequence: a small frame waits for the delayed acknowledgement of the
      # one before.
      # Cause: a listening socket made without its protocol number, for which
      # asyncio leaves Nagle's algorithm on.
      Given an agent beside a model worker
      When "r1" starts stream 1
      Then the agent's connections have Nagle's algorithm off

  Rule: Links come and go, attempts stay

    Scenario: A broken link is taken up at the offset
      # Symptom: a token of a stream is missing or comes twice.
      # Sequence: the link breaks in mid stream; the engine goes on; the
      # router links again and asks from the last byte it has.
      # Cause: an answer that lives in the link dies with it.
      Given an agent beside a model worker
      And the worker holds each stream after event 3
      When "r1" starts stream 1
      And "r1" has 3 events of 1
      And the link of "r1" breaks
      And the worker goes on
      And the agent has the outcome of 1 from "r1"
      And "r1" links again
      And "r1" asks for 1
      Then "r1" has the whole stream 1, each byte once
      And the worker ran 1 of "r1" 1 time

    Scenario: A second link of one router takes its attempts over
      # Symptom: after a reconnect the answer stays on the old connection.
      # Sequence: the router's old connection is not yet noticed as dead.
      # Cause: an attempt bound to the link that started it.
      Given an agent beside a model worker
      And the worker holds each stream after event 3
      When "r1" starts stream 1
      And "r1" has 3 events of 1
      And "r1" links again
      And "r1" asks for 1
      And the worker goes on
      Then "r1" has the whole stream 1, each byte once

    Scenario: The end of a router's old link takes nothing from its new one
      # Symptom: a team gets more than its limit after a reconnect.
      # Sequence: a router reports its demand on a new link; then its old
      # link is noticed as dead.
      # Cause: taking the end of any link for the end of the router.
      Given an agent beside a model worker
      When "r1" reports demand of team "t"
      And "r1" links again
      And the old link of "r1" breaks
      Then the agent still counts the demand of "r1" for team "t"
      When the link of "r1" breaks
      Then the agent counts no demand for team "t"

    Scenario: A start that comes twice runs once
      # Symptom: the worker counts two runs of one attempt.
      # Sequence: the same Start reaches the agent twice.
      # Cause: an agent that runs what it is sent without looking it up.
      Given an agent beside a model worker
      And the worker holds each stream after event 3
      When "r1" starts stream 1
      And "r1" starts stream 1
      And the worker goes on
      Then "r1" has the outcome of 1
      And the worker ran 1 of "r1" 1 time

    Scenario: An attempt that nobody comes back for is stopped
      # Symptom: a router's VM dies and its streams hold the worker's slots.
      # Sequence: the link breaks and no Ask comes within the grace.
      # Cause: attempts outlive links; something must end them.
      Given an agent beside a model worker
      And the worker holds each stream after event 3
      When "r1" starts stream 1
      And "r1" has 3 events of 1
      And the link of "r1" breaks
      And 20 s later the agent sweeps
      Then the worker was told to cancel 1 of "r1"
      And the agent has the outcome of 1 from "r1"

    Scenario: A call that must not be repeated is finished and kept
      # Symptom: a certificate was issued and nobody can tell.
      # Sequence: the router is away while the call runs; it asks later.
      # Cause: stopping such a call, or forgetting how it ended.
      Given an agent beside a plain worker
      And the worker holds each stream after event 1
      When "r1" starts call 1 that must not be repeated
      And the worker has begun 1 of "r1"
      And the link of "r1" breaks
      And 20 s later the agent sweeps
      And the worker goes on
      And the agent has the outcome of 1 from "r1"
      And "r1" links again
      And "r1" asks for 1
      Then "r1" has the answer "done " to call 1
      And the worker ran 1 of "r1" 1 time

    Scenario: A call that must not be repeated is not stopped by a cancel
      # Symptom: a certificate is half issued.
      # Sequence: the caller hangs up while the call runs.
      # Cause: treating it as a stream whose tokens nobody wants.
      Given an agent beside a plain worker
      And the worker holds each stream after event 1
      When "r1" starts call 1 that must not be repeated
      And the worker has begun 1 of "r1"
      And "r1" cancels 1
      And the worker goes on
      Then "r1" has the answer "done " to call 1

  Rule: A refusal that says "not run" is true

    Scenario: An attempt never seen is closed for ever
      # Symptom: a request runs on two workers.
      # Sequence: the link breaks with the Start under way; the router asks
      # on a new link, hears "not run" and runs it elsewhere; then the Start
      # comes out of the old connection.
      # Cause: "never seen" is true only if it stays so.
      Given an agent beside a model worker
      When "r1" asks for 5
      Then 5 of "r1" is refused as "not-run" for "attempt_closed"
      When "r1" starts stream 5
      Then 5 of "r1" is refused as "not-run" for "attempt_closed"
      And the worker ran 5 of "r1" 0 times

    Scenario: A cancel that overtakes its start closes it
      # Symptom: the worker runs for a caller that has hung up.
      # Sequence: a Cancel sent on a new link passes the Start on the old.
      # Cause: a Cancel of an unknown id that is merely ignored.
      Given an agent beside a model worker
      When "r1" cancels 5
      And "r1" starts stream 5
      Then 5 of "r1" is refused as "not-run" for "attempt_closed"
      And the worker ran 5 of "r1" 0 times

    Scenario: A refused start stays refused
      # Symptom: a request that was refused as not run runs after all.
      # Sequence: a Start is refused for its weights; these are loaded; the
      # same Start comes again, late.
      # Cause: a refusal that leaves no trace.
      Given an agent beside a model worker
      When "r1" starts stream 1 of weights "w2"
      Then 1 of "r1" is refused as "not-run" for "weights_version_changed"
      When "r1" starts stream 1
      Then 1 of "r1" is refused as "not-run" for "attempt_closed"
      And the worker ran 1 of "r1" 0 times

    Scenario: A restarted agent does not claim that nothing ran
      # Symptom: a request runs twice, over an agent's restart.
      # Sequence: the agent runs it, restarts with an empty table and is
      # asked about it.
      # Cause: reading an empty table as "never seen".
      Given an agent beside a model worker
      And the worker holds each stream after event 3
      When "r1" starts stream 1
      And "r1" has 3 events of 1
      And the agent restarts
      And "r1" asks for 1
      Then 1 of "r1" is refused as "may-have-run" for "agent_restarted"
      When "r1" starts stream 2
      Then 2 of "r1" is refused as "not-run" for "agent_restarted"
      And the worker ran 2 of "r1" 0 times

    Scenario: What is forgotten is never called not run
      # Symptom: an attempt that ran is run again.
      # Sequence: the agent forgets it to bound its memory; then it is asked
      # about it.
      # Cause: forgetting an id turns it into one never seen.
      Given an agent beside a model worker
      When "r1" starts stream 1
      And "r1" has the outcome of 1
      And 100 s later the agent sweeps
      And "r1" asks for 1
      Then 1 of "r1" is refused as "ran" for "attempt_closed"
      When "r1" starts stream 9 with none older open
      And "r1" has the outcome of 9
      And "r1" asks for 1
      Then 1 of "r1" is refused as "may-have-run" for "attempt_closed"

    Scenario Outline: A router long gone is remembered by a number
      # Symptom: as above, for a router that was silent for an hour.
      # Sequence: its history is dropped, then even the number kept of it.
      # Cause: as above.
      Given an agent beside a model worker
      When "r1" starts stream 7
      And "r1" has the outcome of 7
      And the link of "r1" breaks
      And 100 s later the agent sweeps
      And 1000 s later the agent sweeps
      And <others> other routers have come and gone since
      Then the agent remembers no router's history
      When "r1" links again
      And "r1" asks for 7
      Then 7 of "r1" is refused as "may-have-run" for "attempt_closed"
      When "r1" starts stream 8
      Then "r1" has the whole stream 8, each byte once

      Examples:
        | others |
        | 0      |
        | 5000   |

    Scenario: A worker that takes no connection has run nothing
      Given an agent beside a model worker
      And the worker is gone
      When "r1" starts stream 1
      Then 1 of "r1" is refused as "not-run" for "worker_unreachable"

    Scenario Outline: A worker that vanishes with a call may have run it
      # Symptom: a certificate is issued twice, seen only in the registry.
      # Sequence: a call goes out on a kept connection; the worker runs it
      # and closes; libcurl sends it again on a fresh connection.
      # Cause: libcurl repeats what has no body to rewind, unhindered.
      Given an agent beside a plain worker
      When "r1" starts call 1 that must not be repeated
      And "r1" has the outcome of 1
      And the worker will vanish with the next call
      And "r1" starts <call> 2 that must not be repeated
      Then 2 of "r1" is refused as "may-have-run" for "stream_broken"
      And the worker ran 2 of "r1" 1 time

      Examples:
        | call       |
        | call       |
        | empty call |

    Scenario: No request is sent again behind the agent's back
      # Symptom: a worker counts two runs of one attempt, or a request that
      # an engine had begun is called not run.
      # Sequence: a request goes out on a kept connection; the worker runs
      # it and dies; libcurl sends it again by itself, and a restarted
      # engine refuses its weights.
      # Cause: libcurl rewinds and repeats a request on a kept connection
      # that breaks before the first byte of an answer.
      Given an agent beside a model worker
      When "r1" starts stream 1
      And "r1" has the outcome of 1
      And the worker will vanish with the next call
      And the worker forgets all requests
      And "r1" starts stream 2
      Then 2 of "r1" is refused as "may-have-run" for "stream_broken"
      And the worker ran 2 of "r1" 1 time

    Scenario: Closed ids take bounded memory
      # Symptom: an agent's memory grows with each request refused.
      # Sequence: a router with one very old attempt asks or starts in vain.
      # Cause: ids are closed for ever, but memory ends.
      Given an agent beside a model worker
      When "r1" asks for 20000 attempts never sent
      Then the agent remembers at most 10000 of "r1"
      When "r1" asks for 1
      Then 1 of "r1" is refused as "may-have-run" for "attempt_closed"
      When "r1" starts stream 20001
      Then "r1" has the whole stream 20001, each byte once

    Scenario: An answer too large to keep is not cut short
      # Symptom: a caller reads half a certificate as a whole one.
      # Sequence: nobody reads a call's answer, which is larger than what is
      # kept; its bytes are dropped to free the slot; the router comes back.
      # Cause: replaying what is left.
      Given an agent beside a plain worker
      And the worker's body has 1000000 bytes
      When "r1" starts call 1 that must not be repeated
      And "r1" gets no more than the window of 1 unconfirmed
      And the link of "r1" breaks
      And 20 s later the agent sweeps
      And the agent has the outcome of 1 from "r1"
      And "r1" links again
      And "r1" asks for 1
      Then 1 of "r1" is refused as "ran" for "stream_broken"
      And the worker ran 1 of "r1" 1 time

    Scenario Outline: An engine's refusal proves what it proves
      Given an agent beside a model worker
      And the worker answers with status <status>
      When "r1" starts stream 1
      Then 1 of "r1" is refused as "<verdict>" for "<reason>"

      Examples:
        | status | verdict      | reason                  |
        | 409    | not-run      | weights_version_changed |
        | 404    | not-run      | not_ready               |
        | 500    | may-have-run | worker_failed           |
        | 429    | may-have-run | worker_failed           |

    Scenario: A refusal to resume says nothing of the request itself
      # Symptom: a stream that ran for seconds is called not run.
      # Sequence: a stream is cut; weights change; its resumption is refused.
      # Cause: reading the refusal as one of the request.
      Given an agent beside a model worker
      And the worker cuts the stream after event 3
      And the worker refuses to resume with status 409
      When "r1" starts stream 1
      Then 1 of "r1" is refused as "may-have-run" for "worker_failed"

    Scenario: A refusal without the request's id proves nothing
      # Symptom: a request that runs is called not run.
      # Sequence: the refusal of another request comes on its connection.
      # Cause: believing a refusal that does not say whose it is.
      Given an agent beside a model worker
      And the worker answers with status 409
      And the worker leaves the request's id out
      When "r1" starts stream 1
      Then 1 of "r1" is refused as "may-have-run" for "worker_failed"

  Rule: Each answer is its own request's

    Scenario Outline: Late and crossed answers are dropped and fetched again
      # Symptom: a caller reads another caller's answer, or a stream with a
      # hole in it.
      # Sequence: the engine crosses, skips or cuts.
      # Cause: trusting a connection in place of the id and number inside.
      Given an agent beside a model worker
      And the worker <fault>
      When "r1" starts <kind> 1
      Then "r1" has the whole <kind> 1, each byte once
      And the worker ran 1 of "r1" 1 time
      And the count of <part> dropped has grown

      Examples:
        | fault                                | kind   | part   |
        | slips in an event of another request | stream | events |
        | skips event 3                        | stream | gaps   |
        | crosses the next header              | stream | answers |
        | crosses the next header              | answer | answers |
        | crosses the next body                | answer | bodies |

    Scenario: Two crossed calls get their own answers all the same
      # Symptom: two certificates are issued and nobody gets either.
      # Sequence: a plain service writes two answers to each other's
      # connections; neither call may be repeated.
      # Cause: dropping by id what could be delivered by id.
      Given an agent beside a plain worker
      And the worker swaps the answers of two calls
      When "r1" starts call 1 that must not be repeated
      And "r2" starts call 2 that must not be repeated
      Then "r1" has its own answer to call 1
      And "r2" has its own answer to call 2
      And the worker ran 1 of "r1" 1 time
      And the worker ran 2 of "r2" 1 time

    Scenario: An answer of nobody's is not passed on
      Given an agent beside a plain worker
      And the worker crosses the next header
      When "r1" starts call 1 that must not be repeated
      Then 1 of "r1" is refused as "may-have-run" for "answer_of_another_request"

    Scenario: A late failure without an id fails no later call
      # Guards against a call that fails with the answer of an earlier one: a
      # worker sends a failure that names no request once more, late, where
      # the answer to the next call on that connection is due.
      Given an agent beside a plain worker
      And the worker fails the next call, names none, and does so again late
      When "r1" starts call 1
      And "r1" has the outcome of 1
      And "r1" starts call 2
      Then "r1" has the answer "done " to call 2
      And the worker ran 2 of "r1" 1 time

    Scenario: A cut stream goes on at the same engine
      Given an agent beside a model worker
      And the worker cuts the stream after event 3
      When "r1" starts stream 1
      Then "r1" has the whole stream 1, each byte once
      And the worker ran 1 of "r1" 1 time

    Scenario: An engine that repeats events does not double a token
      Given an agent beside a model worker
      And the worker cuts the stream after event 3
      And the worker takes streams up from the beginning
      When "r1" starts stream 1
      Then "r1" has the whole stream 1, each byte once

    Scenario: A stream that falls silent is fetched again
      # Symptom: a stream hangs until its caller gives up.
      # Sequence: the engine's connection dies without a reset.
      # Cause: waiting for bytes without a bound.
      Given an agent beside a model worker
      And answers are due within 300 ms
      And the worker holds each stream after event 3
      When "r1" starts stream 1
      Then "r1" has the whole stream 1, each byte once
      And the worker ran 1 of "r1" 1 time

    Scenario: An engine that restarted does not go on for the earlier one
      # Symptom: the second half of an answer does not follow its first.
      # Sequence: a stream is cut; the engine that takes it up is another run.
      # Cause: joining by number what two runs said.
      Given an agent beside a model worker
      And the worker cuts the stream after event 3
      And the worker takes streams up as "epoch-2"
      When "r1" starts stream 1
      Then 1 of "r1" is refused as "may-have-run" for "worker_restarted"
      And "r1" has 3 events of 1

    Scenario: An engine that lost the request ends the stream with an error
      # Symptom: a stream stops short and looks whole.
      # Sequence: the engine restarts in mid stream and knows nothing.
      # Cause: taking the end of a connection for the end of an answer.
      Given an agent beside a model worker
      And the worker cuts the stream after event 3
      And the worker forgets all requests
      When "r1" starts stream 1
      Then 1 of "r1" is refused as "may-have-run" for "stream_broken"
      And "r1" has 3 events of 1

  Rule: Nobody takes more than there is

    Scenario: A slow reader slows the engine
      # Symptom: an agent's memory grows with each slow caller.
      # Sequence: a caller reads nothing; the engine goes on.
      # Cause: reading from the worker what nobody takes.
      Given an agent beside a model worker
      And the worker streams 8000 events of 1000 bytes
      When "r1" starts stream 1
      Then "r1" gets no more than the window of 1 unconfirmed
      And the agent holds no more than the window and the worker waits
      When "r1" confirms 1 as it comes
      Then "r1" has the whole stream 1, each byte once

    Scenario: A cancel frees the slot
      Given an agent with 1 slot beside a model worker
      And the worker holds each stream after event 3
      When "r1" starts stream 1
      And "r1" has 3 events of 1
      And "r1" starts stream 2
      And "r1" cancels 1
      Then "r1" has the whole stream 2, each byte once
      And the worker was told to cancel 1 of "r1"

    Scenario: A request whose time can't be kept is refused at once
      Given an agent with 1 slot beside a model worker
      And the worker holds each stream after event 3
      When "r1" starts stream 1
      And "r1" has 3 events of 1
      And "r1" starts stream 2 due in 100 ms
      Then 2 of "r1" is refused as "not-run" for "deadline_cannot_be_met"
      And the refusal of 2 for "r1" says "expected to wait"
      And the refusal of 2 for "r1" says when to come back

    Scenario: A full queue refuses at once
      Given an agent with 1 slot beside a model worker
      And the worker holds each stream after event 3
      When "r1" starts 258 streams of team "t" from 1
      Then 258 of "r1" is refused as "not-run" for "queue_full"
      And the refusal of 258 for "r1" says when to come back

    Scenario: Teams get slots by their shares, priority goes first
      Given an agent with 1 slot beside a model worker
      And the worker holds each stream after event 3
      When "r1" starts stream 1
      And "r1" has 3 events of 1
      And "r1" starts 4 streams of team "t" from 10
      And "r1" starts 4 streams of team "u" from 20
      And "r1" starts stream 30 of priority 5
      And the worker goes on
      Then "r1" has the outcome of 13
      And the worker ran them in the order 1 30 20 21 22 10 23 11 12 13

  Rule: A graceful end cuts nothing

    Scenario: A draining agent refuses new work and ends what it has
      Given an agent beside a model worker
      And the worker holds each stream after event 3
      When "r1" starts stream 1
      And "r1" has 3 events of 1
      And the agent begins to drain
      Then "r1" hears that the worker is leaving
      When "r1" starts stream 2
      Then 2 of "r1" is refused as "not-run" for "draining"
      When the worker goes on
      Then "r1" has the whole stream 1, each byte once
      And the agent has drained

    Scenario: A draining agent waits for a router that is away
      # Symptom: a call ran on a leaving VM and its outcome left with it.
      # Sequence: the link breaks; the VM is told to leave; the call ends;
      # the router links again.
      # Cause: counting only attempts that still run.
      Given an agent beside a plain worker
      And the worker holds each stream after event 1
      When "r1" starts call 1 that must not be repeated
      And the worker has begun 1 of "r1"
      And the link of "r1" breaks
      And the agent begins to drain
      And the worker goes on
      And the agent has the outcome of 1 from "r1"
      Then the agent has not drained
      When "r1" links again
      And "r1" asks for 1
      Then "r1" has the answer "done " to call 1
      And the agent has drained

    Scenario: One missed answer does not make a worker lost
      # Symptom: a short pause of an engine makes routers go to cold ones.
      # Sequence: one poll of the worker fails.
      # Cause: taking a slow worker for a lost one.
      Given an agent beside a model worker
      And a watch that has seen the worker
      When the worker's load can't be read
      And the watch polls the worker
      Then the watch sees "epoch-1"
      When the watch polls the worker
      Then the watch sees no worker

    Scenario: A late second answer to a poll does not unload the models
      # Guards against a worker that counts as one without models: it sends its
      # load once more where the list of its models is expected.
      Given an agent beside a model worker
      And the worker sends each answer to a poll twice
      And a watch that has seen the worker
      When the watch polls the worker
      And the watch polls the worker
      Then the watch sees "epoch-1"
      And the watch sees the model "m:w1"

    Scenario: Routers hear of a worker's restart
      Given an agent beside a model worker
      When "r1" starts stream 1
      And "r1" has the outcome of 1
      And the worker comes back as "epoch-2"
      Then "r1" hears of "epoch-2"
