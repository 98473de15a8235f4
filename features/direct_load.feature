Feature: Decisions of a direct router under load

  The decisions are the product's pure functions; load and time are the
  scenario's, from fixed seeds, so that each run is the same.

  Rule: What surely comes late is refused at once

    Scenario Outline: Prompts beyond what the engines can read
      # Symptom: under load nearly every first event comes late.
      # Sequence: more prompts arrive than engines can read; all are sent.
      # Cause: each waits behind the reading of those before.
      Given <engines> engines and <routers> routers that see only their own load
      When prompts need <load> times the prefill capacity of the engines for 20 seconds
      Then at least <kept> percent of the capacity is answered in time
      And more than twice as much as when nothing is refused

      Examples:
        | engines | routers | load | kept |
        | 5       | 1       | 1.6  | 85   |
        | 9       | 1       | 2.5  | 85   |
        | 5       | 4       | 1.6  | 60   |

    Scenario Outline: Routers learn each other's load from their own answers
      # Symptom: under load engines idle while prompts at others come late.
      # Sequence: several routers place prompts; each sees its own only and
      #   takes the engine that the others have filled for the idlest.
      # Cause: a first event that came late told nothing for the next one.
      Given <engines> engines and <routers> routers that see only their own load
      When prompts need <load> times the prefill capacity of the engines for 20 seconds
      Then at least <kept> percent of the capacity is answered in time
      And at least <part> times as much as without recorded lateness

      Examples:
        | engines | routers | load | kept | part |
        | 5       | 4       | 1.6  | 80   | 1.2  |
        | 9       | 5       | 1.6  | 65   | 2.0  |
        | 22      | 24      | 0.8  | 60   | 3.0  |

    Scenario: A refusal tells when room is to be expected
      Given an engine with 500 ms of queued prefill
      When a prompt with 60 ms of prefill needs its first event within 240 ms
      Then it is refused with capacity after at least 300 ms

  Rule: Prompts go where they are read soonest

    Scenario Outline: The own zone is left only when it is clearly slower
      Given an engine in the own zone that is free after <own> ms
      And one in another zone that is free after <other> ms
      When a prompt is placed
      Then it goes to the <chosen> zone

      Examples:
        | own | other | chosen |
        | 0   | 0     | own    |
        | 20  | 0     | own    |
        | 60  | 0     | other  |

    Scenario: Urgent prompts do not wait for the others
      # Symptom: the most urgent kind is served least.
      # Sequence: long prompts wait at all engines; short urgent ones come.
      # Cause: all that waits was counted, though engines take the urgent
      #   ones first.
      Given an engine at which 10 less urgent prompts of 40 ms are queued
      Then an urgent prompt expects to wait less than 40 ms
      And a less urgent one expects to wait 400 ms

    Scenario: A silent upstream is avoided before its connections break
      # Symptom: requests that must not repeat are lost by the dozen.
      # Sequence: an upstream loses its power; connections show that after
      #   1.5 s; until then requests go on being sent there.
      # Cause: only a broken connection counted as a failure.
      Given an upstream that has sent no data for 400 ms while a request waits
      Then it counts as silent
      And it does not once data is received from it

  Rule: Streams leave an engine that fell silent as a whole

    Scenario Outline: Streams without events
      # Symptom: streams pause for 1.5 s when an engine loses its power.
      # Sequence: connections to it stay open and tell nothing at first.
      # Cause: each stream was judged alone, though an engine gives all its
      #   streams their events together.
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

    Scenario: A router whose own link is full breaks nothing off
      # Symptom: answers are cut in the middle though their engines live.
      # Sequence: a router's link is full; nothing comes for 0.3 s from any
      #   upstream; it breaks all streams off.
      # Cause: its own silence was taken for that of every engine.
      Given an engine with 4 plain streams that last sent data 300 ms ago
      And another with streams that last sent data 280 ms ago
      When open streams are checked
      Then 0 of them are aborted

    Scenario: A stream that has ended is not broken off
      Given an engine with 4 plain streams that last sent data 300 ms ago
      And another with streams that last sent data 10 ms ago
      When two of them end
      And open streams are checked
      Then 0 of them are aborted

  Rule: Repeats stay within the fleet's budget

    Scenario Outline: All upstreams refuse everything
      # Symptom: a full service gets several times its load.
      # Sequence: every send is refused and made again.
      # Cause: each router repeats as if it were alone.
      Given <routers> routers that share a budget of 0.2 and 54
      When each of them gets 100 requests in 10 seconds and all are refused
      Then the fleet retries no more than the budget allows

      Examples:
        | routers |
        | 1       |
        | 4       |
        | 8       |

    Scenario: What began to run has a part of the budget to itself
      # Symptom: runs that could go on from their copies are lost in a crash.
      # Sequence: engines crash; those that load refuse; refused requests are
      #   sent again and use the budget up; the copies are never asked.
      # Cause: a refused request counted as much as one that ran.
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

    Scenario: Engines are ordered when their time has come
      Given 9 engines with version 1 of which 6 load later
      When version 2 is released
      Then 3 of them are ordered, the least busy first

    Scenario Outline: All routers agree when each engine loads
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

    Scenario: Engines that were left alone load the next version first
      Given 5 engines with weights of version 1
      And of these 3 have loaded version 2
      When version 3 is released early
      Then the 2 with version 1 load before all other engines

    Scenario Outline: A run that would outlast an engine's weights goes elsewhere
      # Symptom: a tenth of the tokens made are worth nothing.
      # Sequence: a run begins; its engine loads new weights half a second
      #   later; the rest of the answer mixes two versions.
      # Cause: nobody but the holder of orders knew which engine loads next.
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

    Scenario Outline: Copies are bounded for all routers together
      # Symptom: shared parts are read 2.7 times as often as without copies.
      # Sequence: every run is copied to another engine; the copies push
      #   cached parts out.
      # Cause: nothing bounded the memory of copies.
      Given 5 engines in 4 zones and a router in each zone
      And each router knows of <routers> routers
      When a router places runs that must not be retried
      Then each other engine keeps copies of at most <copied> of them

      Examples:
        | routers | copied |
        | 1       | 11     |
        | 4       | 2      |
        | 24      | 0      |

  Rule: What is counted on is there

    Scenario: A part is taken for kept only when it was read
      # Symptom: first events come later than expected.
      # Sequence: a prompt is sent and waits; another with the same part is
      #   placed elsewhere, as if it could be fetched from the KV store.
      # Cause: the part was taken for kept when it was sent.
      Given 5 engines in 4 zones and a router in each zone
      When a router has sent a prompt that was not answered yet
      Then other engines must prefill its parts
      And once it is answered they only need to fetch them

  Rule: Logs stay bounded and never hold anything up

    Scenario: Failures are told before answers
      When 1000 answered and 150 failed requests end within a second
      Then all failed ones are told and at most 200 answered ones
      And the number left out is counted

    Scenario: A reader of the log that pauses stops nothing
      # Symptom: a router stops answering when its log is not read.
      # Sequence: the reader pauses; the pipe fills; the next line waits.
      # Cause: lines were written from the event loop.
      Given a log whose reader is paused
      When 5000 lines are written
      Then writing them returns though none is read
      And once the reader goes on it is told how many were dropped
