Feature: Parts of prompts that crash upstreams are blocked

  Rule: What crashes upstreams is learnt of what requests have in common

    Scenario: A crash names the parts of the prompts that it interrupted
      # Guards against logs that can't show what requests under which upstreams
      # crashed have in common.
      Given a store with a configuration
      And 2 upstreams of "models" that come back after a crash
      And plain upstreams "reg-1" and "reg-2"
      And the part "bad" of prompts crashes upstreams
      And a direct router that logs to a file
      When 2 different prompts "own,bad,last" come, one after the other
      Then the crashes in its log have 2 requests and 2 parts in common

    Scenario Outline: Prompts that are never alike share a part that crashes
      # Guards against upstreams that crash one after the other under one part
      # of prompts: each request with it is new, so each crashed two or three
      # before it was blocked, 36 in one day.
      Given a store with a configuration
      And 5 upstreams of "models" that come back after a crash
      And the part "bad" of prompts crashes upstreams
      And routers that call each other
      And 3 direct routers
      And each router knows the 2 others
      When different prompts "<crashing>" come for 8 seconds, beside sound ones "<sound>"
      Then at most 5 upstreams have crashed
      And at most 3 prompts with it reach upstreams after the fifth crash
      And refused prompts with it have not run and may come back later
      And 95 percent of the sound ones begin once 2 seconds have passed

      Examples: the first part or another
        | crashing        | sound             |
        | bad,shared,last | other,shared,last |
        | shared,bad,last | shared,other,last |
        | a,b,bad,c,last  | a,b,other,c,last  |

    Scenario Outline: A prompt clears its parts at all routers
      # Guards against prompts that are refused for ten minutes for a part that
      # has answered since, and against a failed answer that clears a part.
      Given a store with a configuration
      And routers that call each other
      And 2 direct routers
      And each router knows the 1 other
      When a router detects 3 crashes under different prompts with "shared"
      And both routers block prompts with "shared"
      And a prompt with "shared" <ends> at that router
      Then <count> routers still block prompts with "shared"

      Examples:
        | ends      | count |
        | completes | 0     |
        | fails     | 2     |

    Scenario: A part that has completed before is not suspected at any router
      Given a store with a configuration
      And routers that call each other
      And 2 direct routers
      And each router knows the 1 other
      When a prompt with "shared" completes at that router
      And a router detects 1 crash under different prompts with "shared"
      And a router detects 1 crash under different prompts with "other"
      Then both routers suspect only prompts with "other"

    Scenario: Parts of many prompts cause no calls to the store
      # Guards against a write by each router for each crash, as the first part
      # of most prompts stands at all of them.
      Given a store with a configuration
      And 5 upstreams of "models" that come back after a crash
      And routers that call each other
      And 2 direct routers
      And each router knows the 1 other
      When 2 different prompts "shared,other,last" come, one after the other
      And 2 upstreams crash in turn, each under a different one of "shared,other,last"
      Then no crash record is saved within 1 second

  Rule: The fewest parts and requests that explain all crashes are blocked

    Scenario Outline: A part explains the crashes of several requests
      # Words are requests with the parts of their prompts; + after a request
      # that had returned an event, ! after a part whose prompts had completed.
      When routers receive the crashes "<crashes>" in any order
      Then they block "<blocked>"

      Examples: enough
        | crashes                                | blocked       |
        | a:p; b:p                               | part-p        |
        | a:s!,p; b:s!,p                         | part-p        |
        | a:p,s! c+:s!; b:p,s! d:s!              | part-p        |
        | a:p; a:p; b:p                          | part-p        |
        | a:p,q; b:p,q                           | part-p part-q |
        | a:p,q; b:p,q; c:p                      | part-p        |
        | a+:p; b+:p; c+:p                       | part-p        |
        | a:p; b:p; c:q; d:q                     | part-p part-q |
        | a:p; b:p c:q; d:q; e:p; f:q            | part-p part-q |
        | a:s!; b:s!; c:s!; d:s!                 | part-s        |

      Examples: not enough, or one request is
        | crashes                | blocked |
        | a:p                    |         |
        | a:p b:p                |         |
        | a+:p; b+:p             |         |
        | a:p; a:p               | a       |
        | a:p; a:p; a:p; a:p     | a       |
        | a:p b:p; a:p           | a       |
        | a:p b:q; c:p d:q       |         |
        | a:p b:q; c:p; d:q      |         |
        | a:s!; b:s!; c:s!       |         |

    Scenario: A completed answer clears the parts of its prompt
      When routers receive the crashes "a:p; b:p; c:p" in any order
      And "part-p" completes at one of them, which informs the others
      Then they block ""

    Scenario: A block of a part ends when its crashes are forgotten
      When routers receive the crashes "a:p; b:p; c:p" in any order
      And 601 seconds pass
      Then they block ""

    Scenario: A part that was proven harmless before is blocked provisionally
      # Guards against ten minutes without service for a part that many prompts
      # have, after several upstreams lost power at once.
      When routers receive the crashes "a:s!; b:s!; c:s!; d:s!" in any order
      Then the blocks of "part-s" are ambiguous

  Rule: Crashes at one moment count as one

    Scenario Outline: A common cause may explain crashes at one moment
      # Guards against blocking harmless parts when many upstreams terminate
      # together: of several hundred parts, some run at two of them by chance.
      # A number after @ is the time of a crash in ms.
      When routers receive the crashes "<crashes>" in any order
      Then they block "<blocked>"

      Examples: by chance
        | crashes                                                    | blocked |
        | @0 a:p; @50 b:p; @90 c:q; @150 d:r                         |         |
        | @0 a:p; @9 b:q; @9 c:r; @3500 d:p; @3509 e:s; @3509 f:t    |         |
        | @0 a:s!; @9 b:s!; @9 c:s!; @9 d:s!; @9 e:s!                |         |
        | @0 a:s!; @9 b:s!; @9 c:s!; @9 d:s!; @9 e:q                 |         |
        | @0 a; @9 a; @9 b; @9 c                                     |         |

      Examples: the part explains them, or others
        | crashes                                                    | blocked |
        | @0 a:p; @50 b:p; @90 c:p; @150 d:p                         | part-p  |
        | @0 a:p; @50 b:p; @90 c:p; @150 d:q                         | part-p  |
        | @0 a:p; @50 b:p; @151 c:q; @152 d:r                        | part-p  |
        | @0 a:p; @50 b:p; @90 c:q; @90 d:r; @500 e:p                | part-p  |
        | @0 a:p; @9 b:q; @9 c:r; @500 d:p                           | part-p  |
        | @0 a:p; @9 b:p; @9 c:q; @9 d:q                             | part-p part-q |
        | @0 a; @9 a; @9 b; @9 c; @500 a                             | a       |

      Examples: routers that don't report the time
        | crashes                                                    | blocked |
        | a:p; b:p; @0 c:q; @9 d:r; @9 e:t                           | part-p  |
        | a:p; @0 b:p; @9 c:q; @9 d:r; @9 e:t                        | part-p  |

    Scenario Outline: A crash has the earliest time that a router reports
      # Guards against routers that reach different results, as their clocks
      # and the delays of their reports differ.
      When routers receive reports of a crash at "<times>" in any order
      Then its time is <time> at each

      Examples:
        | times        | time |
        | 7 5 9        | 5    |
        | 0 5          | 5    |
        | 0 0          | 0    |

    Scenario: Routers without the time of crashes exchange records with others
      # Guards against a roll-out in which routers can't read records.
      When a router without the time of crashes and one with it exchange records
      Then both know the runs of all crashes

    Scenario: A router reports when its first run broke
      Given a store with a configuration
      And 3 upstreams of "models" that come back after a crash
      And the part "bad" of prompts crashes upstreams
      And a direct router
      When 1 different prompts "own,bad,last" come, one after the other
      Then the router knows when upstreams crashed

    Scenario Outline: Waves of crashes in the simulation
      # Guards against blocks of harmless parts when 30 percent of 23 upstreams
      # terminate three times, and against a part that crashes more than five
      # because its crashes are taken for those of a wave.
      When "<load>" is simulated 10 times
      Then no harmless part is blocked
      And at most 5 upstreams crash under one part
      And at most 3 prompts with it are sent after the fifth crash

      Examples:
        | load                         |
        | waves                        |
        | waves, clocks 0.1 s off      |
        | waves and a part             |
        | waves and a part, one router |

    Scenario Outline: Without capacity where a prompt should go after a wave
      When routers receive the crashes "<crashes>" in any order
      Then a prompt with "p" <may> use another upstream

      Examples:
        | crashes                                                | may     |
        | @0 a:p x:u; @9 b:p y:v; @9 c:q; @9 d:r                 | may     |
        | @0 a:p x:u; @9 b:p y:v; @9 c:q; @9 d:r; @500 e:p z:w   | may not |

    Scenario: The crashes that count as one are logged
      # Guards against a log without the reason why crashes under a part don't
      # block it.
      When a router reports these moments of crashes in turn "3 4 6 7 14"
      Then 3 lines of its log say so, with "3 6 14" crashes

  Rule: One router decides who probes

    Scenario Outline: A part is probed by all routers together
      # Guards against as many crashes as there are routers, each of which
      # probes by itself.
      Given <routers> routers that block a part <kind>
      When each has a request with it ten times a second for <seconds> seconds
      Then <least> to <most> of these are sent, over all routers

      Examples:
        | routers | kind          | seconds | least | most |
        | 1       | ambiguously   | 60      | 3     | 5    |
        | 4       | ambiguously   | 60      | 3     | 5    |
        | 330     | ambiguously   | 20      | 2     | 3    |
        | 4       | as its cause  | 14      | 0     | 0    |
        | 4       | as its cause  | 60      | 1     | 2    |

    Scenario: The router that decides is killed
      Given 4 routers that block a part ambiguously
      When each has a request with it ten times a second for 3 seconds
      And the router that decides is killed
      And each has a request with it ten times a second for 60 seconds
      Then 3 to 8 of these are sent, over all routers

    Scenario Outline: Probes end before they crash many upstreams
      When routers receive the crashes "<crashes>" in any order
      Then "<probed>" are probed

      Examples:
        | crashes                                | probed        |
        | a:p; b:p; c:p                          | part-p        |
        | a:p; b:p; c:p; d:p                     |               |
        | a:p,q; b:p,q; c:p,q; d:p,q             | part-p part-q |
        | a; a; a                                |               |
        | a b; a b; a b                          | a b           |
        | a b; a b; a b; a b; a b; a b; a b; a b |               |

  Rule: Prompts with suspected parts are kept apart from others

    Scenario Outline: After a crash
      # Guards against prompts that come at the same time and crash one
      # upstream each, with all that runs there.
      When routers receive the crashes "<crashes>" in any order
      And <seconds> seconds pass
      Then of <upstreams> upstreams a prompt with "<suspect>" may use <few>
      And one with "<other>" may use the other <most>

      Examples:
        | crashes | seconds | upstreams | suspect | few | other | most |
        | a:p     | 0       | 5         | p       | 1   | q     | 4    |
        | a:p,s!  | 0       | 5         | p,s     | 1   | q,s   | 4    |
        | a:p     | 0       | 22        | p       | 2   | q     | 20   |
        | a:p     | 0       | 890       | p       | 4   | q     | 886  |
        | a:p     | 4       | 5         | p       | 1   | q     | 5    |
        | a+:p    | 0       | 5         | p       | 5   | q     | 5    |
        | a:p!    | 0       | 5         | p       | 5   | q     | 5    |
        | a:p     | 0       | 1         | p       | 1   | q     | 1    |

    Scenario Outline: Without capacity where a prompt should go
      When routers receive the crashes "<crashes>" in any order
      Then a prompt with "p" <may> use another upstream

      Examples:
        | crashes          | may     |
        | a:p              | may     |
        | a:p b:q; c:p d:q | may not |

    Scenario: A completed answer ends a suspicion
      When routers receive the crashes "a:p" in any order
      And "part-p" completes at one of them, which informs the others
      Then of 5 upstreams a prompt with "p" may use 5
      And one with "q" may use the other 5
