Feature: Decisions of a direct router under load

  The decisions are the router's pure functions. Load and time are simulated
  from fixed seeds, so every run is the same.

  Rule: Requests that would be late are refused at once

    Scenario Outline: More prompts than the engines can prefill
      # Guards against late first events under load: if all prompts are sent,
      # each waits for the prefill of those before it.
      Given <engines> engines and <routers> routers that see only their own load
      When prompts need <load> times the prefill capacity of the engines for 20 seconds
      Then at least <kept> percent of the capacity is answered in time
      And more than twice as much as when nothing is refused

      Examples:
        | engines | routers | load | kept |
        | 5       | 1       | 1.6  | 85   |
        | 9       | 1       | 2.5  | 85   |
        | 5       | 4       | 1.6  | 60   |

    Scenario Outline: Routers infer each other's load from late first events
      # Guards against engines that idle while prompts at other engines are
      # late: each router sees only its own prompts and considers an engine
      # idle that other routers have filled. Late first events were not used
      # in later estimates.
      Given <engines> engines and <routers> routers that see only their own load
      When prompts need <load> times the prefill capacity of the engines for 20 seconds
      Then at least <kept> percent of the capacity is answered in time
      And at least <part> times as much as without recorded lateness

      Examples:
        | engines | routers | load | kept | part |
        | 5       | 4       | 1.6  | 80   | 1.2  |
        | 9       | 5       | 1.6  | 65   | 2.0  |
        | 22      | 24      | 0.8  | 60   | 3.0  |

    Scenario Outline: The only router sees all that waits at an engine
      # Guards against prompts that it refuses although an engine would answer
      # them in time: the bound is for the requests of other routers.
      Given <engines> engines and 1 routers that see only their own load
      When prompts need <load> times the prefill capacity of the engines for 20 seconds
      Then at least <part> times as much is answered in time as with the bound of many

      Examples:
        | engines | load | part |
        | 1       | 0.8  | 1.1  |
        | 1       | 1.6  | 1.1  |
        | 2       | 1.6  | 1.05 |
        | 5       | 1.6  | 1.0  |
        | 9       | 2.5  | 1.0  |

    Scenario Outline: Most prompts come to one of several routers
      # Guards against prompts that are refused at once although engines have
      # capacity, as each router kept to its share of the waiting requests
      # while the others had none.
      Given 8 engines with slow steps and <routers> routers
      When <share> of 300 prompts a second come to one router, another each <moves> seconds
      Then at least <part> times as many are answered in time as if they came to all alike

      Examples:
        | routers | share | moves | part |
        | 4       | 0.99  | 0     | 0.9  |
        | 4       | 0.9   | 0     | 0.9  |
        | 4       | 0.99  | 1     | 0.75 |
        | 22      | 0.99  | 0     | 0.9  |

    Scenario: A router that is alone uses all slots of its engines
      Given 8 engines with slow steps and 1 routers
      When 0 of 300 prompts a second come to one router, another each 0 seconds
      Then at most 1 percent are refused

    Scenario Outline: The bounds of a router with a share of the load
      Then a router with <share> of the load of <routers> routers has bounds of <waiting> and <in flight>

      Examples:
        | routers | share | waiting | in flight |
        | 4       | 0.25  | 2       | 24        |
        | 4       | 0.05  | 2       | 24        |
        | 4       | 0.5   | 3       | 36        |
        | 4       | 0.75  | 6       | 72        |
        | 330     | 0.01  | 2       | 24        |
        | 4       | 1     | inf     | inf       |
        | 1       | 1     | inf     | inf       |

    Scenario: A refusal reports when capacity is expected
      Given an engine with 500 ms of queued prefill
      When a prompt with 60 ms of prefill needs its first event within 240 ms
      Then it is refused with capacity after at least 300 ms

  Rule: Prompts go to the engine with the earliest first event

    Scenario Outline: Another zone is chosen only when it is clearly faster
      Given an engine in the own zone that is free after <own> ms
      And one in another zone that is free after <other> ms
      When a prompt is placed
      Then it goes to the <chosen> zone

      Examples:
        | own | other | chosen |
        | 0   | 0     | own    |
        | 20  | 0     | own    |
        | 60  | 0     | other  |

    Scenario: Urgent prompts do not wait for less urgent ones
      # Guards against refusing urgent prompts while long prompts are queued at
      # all engines: the estimate counted all queued prompts, though engines
      # process urgent ones first.
      Given an engine at which 10 less urgent prompts of 40 ms are queued
      Then an urgent prompt expects to wait less than 40 ms
      And a less urgent one expects to wait 400 ms

    Scenario: A silent upstream is avoided before its connections break
      # Guards against losing dozens of requests that can't be retried: an
      # upstream loses power, and its connections show that after 1.5 s. When
      # only a broken connection counted as a failure, requests were sent
      # there until then.
      Given an upstream that has sent no data for 400 ms while a request waits
      Then it counts as silent
      And it does not once data is received from it

  Rule: Streams are moved away from an engine that is silent on all of them

    Scenario Outline: Streams without events
      # Guards against a pause of 1.5 s when an engine loses power: its
      # connections stay open without an error at first. Each stream was
      # evaluated alone, though an engine sends all its streams their events
      # together.
      Given an engine with <streams> <sort> streams that last sent data <ms> ms ago
      And another with streams that last sent data <other> ms ago
      When open streams are checked
      Then <cut> of them are aborted

      Examples:
        | streams | sort    | ms  | other | cut |
        | 3       | plain   | 300 | 10    | 3   |
        | 3       | plain   | 100 | 10    | 0   |
        | 2       | plain   | 300 | 10    | 0   |
        | 3       | one-run | 300 | 10    | 0   |
        | 3       | one-run | 500 | 10    | 3   |

    Scenario: A router whose own link is full aborts no stream
      # Guards against answers of live engines that are aborted: a router's
      # link is full, and no upstream's data arrives for 0.3 s. The router took
      # the silence of its own link for that of every engine.
      Given an engine with 4 plain streams that last sent data 300 ms ago
      And another with streams that last sent data 280 ms ago
      When open streams are checked
      Then 0 of them are aborted

    Scenario: A stream that has ended is not aborted
      Given an engine with 4 plain streams that last sent data 300 ms ago
      And another with streams that last sent data 10 ms ago
      When two of them end
      And open streams are checked
      Then 0 of them are aborted

  Rule: Retries stay within the fleet's budget

    Scenario Outline: All upstreams refuse everything
      # Guards against a full service that gets several times its load: every
      # request is refused and retried, and each router retries as if it were
      # the only one.
      Given <routers> routers that share a budget of 0.2 and 54
      When each of them gets 100 requests in 10 seconds and all are refused
      Then the fleet retries no more than the budget allows

      Examples:
        | routers |
        | 1       |
        | 4       |
        | 8       |

    Scenario: A part of the budget is reserved for requests that began to run
      # Guards against losing runs that could continue from their copies:
      # engines crash, loading engines refuse, and retries of the refused
      # requests exhaust the budget before the copies are used.
      Given 4 routers that share a budget of 0.2 and 54
      When each of them has spent its budget for refused requests
      Then it may still retry some that began to run

  Rule: New weights are loaded by a part of the engines at a time

    Scenario: Nine engines and a new version
      Given 9 engines with version 1
      When version 2 is released
      Then 3 of them are ordered, the least busy first
      And no other is ordered until one of them has loaded it

    Scenario: A version that was superseded is not loaded
      Given 9 engines with version 1
      When version 4 is released
      Then every order is for version 4

    Scenario: Engines are ordered when their scheduled time has passed
      Given 9 engines with version 1 of which 6 load later
      When version 2 is released
      Then 3 of them are ordered, the least busy first

    Scenario Outline: All routers compute the same load schedule
      Given <engines> engines with weights of version 1
      When two routers with differently ordered lists compute the schedule
      Then both have the same schedule for all of them
      And <early> engines load at once or a turn later, at most <part> a turn
      And the other engines load after runs have had time to end

      Examples:
        | engines | early | part |
        | 1       | 1     | 1    |
        | 5       | 3     | 2    |
        | 9       | 5     | 3    |
        | 22      | 11    | 8    |

    Scenario: Engines that have not loaded yet load the next version first
      Given 5 engines with weights of version 1
      And of these 3 have loaded version 2
      When version 3 is released early
      Then the 2 with version 1 load before all other engines

    Scenario Outline: A run that would outlast an engine's weights goes elsewhere
      # Guards against wasting a tenth of the generated tokens: an engine loads
      # new weights half a second after a run begins, and the rest of the
      # answer mixes two versions. Only the holder of the lease knew which
      # engine loads next.
      Given an engine that loads new weights in <load> ms
      And a busier one that does not load, free after <busy> ms
      When a prompt of <tokens> answer tokens is placed
      Then the <chosen> engine gets it

      Examples:
        | load | busy | tokens | chosen  |
        | 300  | 60   | 100    | busier  |
        | 300  | 60   | 10     | loading |
        | 3000 | 100  | 100    | loading |
        | 300  | 400  | 100    | loading |
        | -100 | 100  | 10     | busier  |
        | -600 | 100  | 10     | loading |

  Rule: Copies of runs take little memory

    Scenario Outline: Copies are limited for all routers together
      # Guards against copies of runs that evict cached parts: without a limit
      # the prefill of shared parts ran 2.7 times as often as without copies.
      Given 5 engines in 4 zones and a router in each zone
      And each router knows of <routers> routers
      When a router places runs that must not be retried
      Then each other engine keeps copies of at most <copied> of them

      Examples:
        | routers | copied |
        | 1       | 11     |
        | 4       | 2      |
        | 24      | 0      |

  Rule: Estimates rely only on parts that are stored

    Scenario: A part counts as stored only after its prefill
      # Guards against late first events: a prompt is sent and queued, and
      # another with the same part is placed on another engine as if the part
      # could be fetched from the KV store. The part counted as stored when it
      # was sent.
      Given 5 engines in 4 zones and a router in each zone
      When a router has sent a prompt that was not answered yet
      Then other engines must prefill its parts
      And once it is answered they only need to fetch them

  Rule: Logs are limited in size and never block

    Scenario: Failures are logged before answers
      When 1000 answered and 150 failed requests end within a second
      Then all failed ones are told and at most 200 answered ones
      And the number left out is counted

    Scenario: A paused reader of the log blocks nothing
      # Guards against a router that stops answering when its log is not read:
      # the reader pauses, the pipe fills, and a write from the event loop
      # blocks.
      Given a log whose reader is paused
      When 5000 lines are written
      Then writing them returns though none is read
      And once the reader goes on it is told how many were dropped
