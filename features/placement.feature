Feature: Few copies carry the load, and one process decides where

  Scenario: Low load needs one copy of each model
    Given 9 simulated workers in 4 zones that hold "m,n"
    When 3 requests at once use "m" for 1200 s
    Then "m" has 1 copy
    And "n" has 1 copy
    And each model always had a copy that served
    And no more than 0 loaded at once and 0 loads were begun

  Scenario: High load gets more copies at once, spread over zones
    Given 9 simulated workers in 4 zones that hold "m"
    And only "w1" holds "m"
    And at most 3 loads at once
    When 100 requests at once use "m" for 60 s
    Then "m" has 5 copies
    And "m" has copies in 4 zones
    And no more than 3 loaded at once and 4 loads were begun

  Scenario: Copies are spread evenly over the zones
    Given 40 simulated workers in 4 zones that hold "m"
    And only "w1" holds "m"
    When 170 requests at once use "m" for 200 s
    Then "m" has 8 copies
    And "m" has 2 copies in each of 4 zones

  Scenario: Copies are removed only after a while below
    # Symptom: copies are unloaded and loaded again all day long.
    # Sequence: the load falls for a minute and comes back.
    # Cause: a copy is removed as soon as fewer would do.
    Given 9 simulated workers in 4 zones that hold "m"
    When 180 requests at once use "m" for 300 s
    Then "m" has 9 copies
    When 20 requests at once use "m" for 60 s
    And 180 requests at once use "m" for 60 s
    Then "m" has 9 copies
    When 20 requests at once use "m" for 600 s
    Then "m" has 2 copies
    And "m" has copies in 2 zones

  Scenario: A late first token gets a further copy
    Given 4 simulated workers in 4 zones that hold "m"
    And only "w1" holds "m"
    When 5 requests at once use "m" for 20 s
    Then "m" has 1 copy
    When new requests wait 1000 ms for 30 s
    Then "m" has 2 copies
    When new requests wait 0 ms for 600 s
    Then "m" has 2 copies
    When new requests wait 0 ms for 1200 s
    Then "m" has 1 copy

  Scenario: New weights are rolled worker by worker
    # Symptom: for the time of a load nothing serves a model.
    # Sequence: new weights are rolled, all workers load them at once.
    # Cause: a worker drops the old weights before it loads the new ones.
    Given 5 simulated workers in 4 zones that hold "m"
    And at most 2 loads at once
    When 80 requests at once use "m" for 10 s
    And weights "v2" of "m" are rolled and 200 s pass
    Then every copy of "m" has the weights "v2"
    And each model always had a copy that served
    And no more than 2 loaded at once and 5 loads were begun

  Scenario: A model with one copy is served while new weights load
    Given 3 simulated workers in 3 zones that hold "m"
    And only "w2" holds "m"
    When 1 requests at once use "m" for 10 s
    And weights "v2" of "m" are rolled and 100 s pass
    Then every copy of "m" has the weights "v2"
    And each model always had a copy that served

  Scenario: A pinned copy stays
    Given 4 simulated workers in 2 zones that hold "m"
    And only "w2" holds "m"
    And a pin of "m" to the worker "w3"
    When 1 requests at once use "m" for 900 s
    Then "m" has a copy at "w3"
    And "m" has 1 copy
    And each model always had a copy that served
    And a bundle is refused that pins "mm" to "w3" and "z1"

  Scenario: A lease that its holder renews cannot be taken
    Given a worker that checks fencing numbers
    When "a" asks for the lease and gets it
    And "b" asks for the lease and lacks it
    And 14 s pass
    And "a" asks for the lease and gets it
    And 14 s pass
    And "b" asks for the lease and lacks it
    Then "a" holds the lease with fence 2

  Scenario: A contender waits out a whole duration by its own clock
    # Symptom: two processes hold one lease.
    # Sequence: a contender takes a lease soon after it first sees it.
    # Cause: it reckons with the holder's time, or with none.
    Given a worker that checks fencing numbers
    When "a" asks for the lease and gets it
    And 20 s pass
    And "b" asks for the lease and lacks it
    And 17 s pass
    And "b" asks for the lease and lacks it
    And 2 s pass
    And "b" asks for the lease and gets it
    Then "b" holds the lease with fence 2
    And "a" does not hold the lease
    When "a" asks for the lease and lacks it
    Then "b" holds the lease with fence 2

  Scenario: A released lease is free at once
    Given a worker that checks fencing numbers
    When "a" asks for the lease and gets it
    And "a" releases the lease
    And "b" asks for the lease and gets it
    Then "b" holds the lease with fence 3

  Scenario: A lost answer to a renewal costs nothing
    # Symptom: nobody plans for the time of a lease.
    # Sequence: a renewal takes effect, its answer gets lost.
    # Cause: the holder takes its own change for another's.
    Given a worker that checks fencing numbers
    And the next answer of the platform to a write gets lost
    When "a" asks for the lease and gets it
    Then "a" holds the lease with fence 1
    When the next answer of the platform to a write gets lost
    And "a" asks for the lease and gets it
    Then "a" holds the lease with fence 2

  Scenario: In an outage a lease ends by the holder's own clock
    Given a worker that checks fencing numbers
    When "a" asks for the lease and gets it
    And the platform is down
    And 14 s pass
    And "a" asks for the lease and lacks it
    Then "a" holds the lease with fence 1
    When 2 s pass
    Then "a" does not hold the lease

  Scenario: A worker is brought to its plan once
    Given a worker that checks fencing numbers
    And the agent "a" with plan 4 for weights "v2"
    When "a" looks at its worker
    And "a" looks at its worker
    Then the worker obeyed 1 and refused 0 orders
    And the worker holds weights "v2"
    And the audit of "a" ends with "order: done"
    And "a" does not hold the lease

  Scenario: An old plan does no harm at a worker that checks
    # Symptom: a worker loads weights that were rolled over.
    # Sequence: an agent is paused with an old plan, another orders by the
    # newer one, the first wakes.
    # Cause: the worker takes orders by their arrival.
    Given a worker that checks fencing numbers
    And the agent "a" with plan 4 for weights "v2"
    When "a" is paused for 60 s while its requests end
    And the agent "b" gets plan 5 for weights "v3"
    And "b" looks at its worker
    And "a" wakes
    Then the worker holds weights "v3"
    And the worker obeyed 1 and refused 1 orders
    And "a" serves all its models

  Scenario: A paused agent does no harm at a worker that ignores fences
    # Symptom: a worker loads weights that were rolled over.
    # Sequence: an agent is paused before its order, its lease runs out, its
    # replacement orders, the first wakes.
    # Cause: the agent relies on the lease it had before the pause.
    Given a worker that ignores fencing numbers
    And the agent "a" with plan 4 for weights "v2"
    When "a" is paused for 10 s while its requests end
    And the agent "b" gets plan 5 for weights "v3"
    And "b" looks at its worker
    Then the worker obeyed 0 and refused 0 orders
    When 19 s pass
    And "b" looks at its worker
    And "a" wakes
    Then the worker holds weights "v3"
    And the worker obeyed 1 and refused 0 orders
    And the audit of "a" ends with "order: not given: the lease ran out"
    And "a" serves all its models

  Scenario: The order lease is let go when there is nothing to order
    Given a worker that ignores fencing numbers
    And the agent "a" with plan 4 for weights "v2"
    When "a" looks at its worker
    Then "a" holds the lease with fence 1
    When "a" looks at its worker
    Then "a" does not hold the lease
    When the agent "b" gets plan 5 for weights "v3"
    And "b" looks at its worker
    Then the worker holds weights "v3"
    And the worker obeyed 2 and refused 0 orders

  Scenario: Agents shrink, roll and hold their plan in an outage
    # Symptom: in an outage workers are left without models, or with all.
    # Sequence: the planner cannot renew its lease.
    # Cause: a plan is taken for void as its planner's lease runs out.
    Given 4 agents with placement beside workers that check fences
    Then 1 worker holds the model
    And a plan is held by all agents
    When new weights "v2" are rolled to the agents
    Then 1 worker holds the weights "v2" and no other any
    And at most 2 loads were at the weight store at once
    When the platform goes for three times the lease
    Then the plan is the same and 1 worker holds the model
    When the worker that holds the model comes back empty
    Then 1 worker holds the model

  Scenario: Without a plan nothing is ordered
    Given 3 agents with placement amid an outage of the platform
    When the time of three leases passes
    Then all 3 workers hold the model and got no order

  Scenario: Operators see the plan, who made it, and the copies
    Given a platform over HTTP and the operators "ana" with keys
    And "ana" has rolled a first bundle from "first.json"
    When "ana" runs "placement"
    Then it ends with 0 and prints "no plan; workers keep what they hold"
    When a plan with fence 7 of each model service comes into force
    And "ana" runs "placement"
    Then it ends with 0 and prints "plan 7 by agent-1"
    When a plan with fence 6 of each model service is refused
    And "ana" runs "placement --json"
    Then it ends with 0 and prints "fence":7"
    When "ana" runs "placement --service nobody"
    Then it ends with 1 and warns "has no model service 'nobody'"

  Scenario: A report that says nothing new is left out once
    # Symptom: the planner's process spends more on reports than it may.
    # Sequence: 148 agents each report every 10 s.
    # Cause: a report is sent though it says what the last one said.
    Given an agent alone that reports its demand
    When it comes to report 6 times with the same demand
    Then 3 reports were taken
    When its demand changes and it comes to report
    Then 4 reports were taken
