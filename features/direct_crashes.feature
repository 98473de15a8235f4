Feature: What crashes upstreams is not sent to one after the other

  Rule: A request under which three upstreams ended is blocked

    Scenario Outline: A request that crashes upstreams comes again and again
      # Engines ended in series, up to five within 1.2 seconds, and 53 were
      # started in 100 seconds in place of five. One request crashed each
      # engine that began to run it. Routers sent it on as if its engine had
      # failed for a reason of its own ("i-e767879241 stream_broken 336 ms",
      # then "i-fb8d44fd1a stream_broken 186 ms" for one request), and its
      # caller came back to any router under a new id. No router kept what had
      # become of the same request before, and none told another one: it ended
      # 21 engines, and was sent to engines eleven times more after three had
      # ended. Hundreds of streams broke off that merely ran beside it.
      Given a store with a configuration
      And 5 upstreams of "<service>" that come back after a crash
      And 3 direct routers
      When callers send what crashes them to "<path>" until 3 have crashed
      And it comes again to "<path>" 9 times after 3 seconds
      Then it reaches at most 3 more upstreams

      Examples:
        | service  | path            |
        | models   | /chat/1         |
        | models   | /talk/1         |
        | registry | /records/1      |
        | registry | /certificates/1 |

    Scenario: It is refused as not run, with the time to come back
      Given a store with a configuration
      And 5 upstreams of "registry" that come back after a crash
      And a direct router
      When callers send what crashes them to "/records/1" until 2 have crashed
      And it comes again to "/records/1" 1 time after 0 seconds
      Then the answer is 503 with a time to come back
      And it reaches at most 0 more upstreams

    Scenario: An upstream that breaks answers off has not crashed
      # Symptom: a caller is refused whose upstream merely lost connections.
      # Sequence: connections are reset four times under the same request;
      #   the upstream takes the next one at once.
      # Cause: a reset looks the same to its reader whether its peer ended.
      Given a store with a configuration
      And plain upstreams "reg-1" and "reg-2"
      And a direct router
      And each upstream resets its next 2 requests
      When callers send what crashes nothing to "/records/1" 3 times
      Then the answer is 200 with the whole body and its proof

  Rule: What one router learns all of them act on

    Scenario: The store is away
      # Symptom: each router lets a request end two upstreams of its own.
      # Sequence: the store is away; upstreams crash under one request, at
      #   one router after the other.
      # Cause: crashes were shared through the store alone.
      Given a store with a configuration
      And a public path "/open/" of "registry" with one attempt
      And 5 upstreams of "registry" that come back after a crash
      And routers that call each other
      And 3 direct routers
      And each router knows the 2 others
      When the store is busy
      And callers send what crashes them to "/open/1" until 2 have crashed
      And it comes again to "/open/1" 6 times after 0 seconds
      Then it reaches at most 0 more upstreams

    Scenario: The store is away and one upstream crashes twice
      # Symptom: a request goes on to end the same upstream while the store
      #   is away.
      # Sequence: an upstream crashes, starts again, crashes again; routers
      #   know it by the start that they read last.
      # Cause: both crashes were taken for one, as an upstream crashes but
      #   once for each start.
      Given a store with a configuration
      And a public path "/open/" of "registry" with one attempt
      And 1 upstream of "registry" that comes back after a crash
      And routers that call each other
      And 2 direct routers
      And each router knows the 1 other
      When the store has been busy for 4 seconds
      And callers send what crashes them to "/open/1" until 2 have crashed
      And it comes again to "/open/1" 4 times after 0 seconds
      Then it reaches at most 0 more upstreams

    Scenario: A router can't listen for the others at its start
      # Symptom: what a router knows of crashes reaches neither peers nor the
      #   store, until it is started again.
      # Sequence: it starts while its port for peers is in use, as by the
      #   router before it that still ends its last requests.
      # Cause: it tried to listen once; as that failed, its closing failed
      #   as well and ended all sharing of crashes.
      Given a store with a configuration
      And a public path "/open/" of "registry" with one attempt
      And 5 upstreams of "registry" that come back after a crash
      And routers that call each other
      And another process listens at their ports for peers
      And 2 direct routers
      And each router knows the 1 other
      When callers send what crashes them to "/open/1" until 2 have crashed
      Then 2 crashes are written within 2 seconds

    Scenario: A router can listen for the others some time after its start
      Given a store with a configuration
      And a public path "/open/" of "registry" with one attempt
      And 5 upstreams of "registry" that come back after a crash
      And routers that call each other
      And another process listens at their ports for peers
      And 2 direct routers
      And each router knows the 1 other
      And that process has ended
      When the store is busy
      And callers send what crashes them to "/open/1" until 2 have crashed
      And it comes again to "/open/1" 4 times after 0 seconds
      Then it reaches at most 0 more upstreams

    Scenario: All routers are new
      # Symptom: after a herd of restarts a request ends upstreams again.
      # Sequence: two upstreams crash under it; all routers are killed, and
      #   others start that never heard of it.
      # Cause: what routers tell each other ends with them.
      Given a store with a configuration
      And 5 upstreams of "registry" that come back after a crash
      And routers that call each other
      And 2 direct routers
      And each router knows the 1 other
      When callers send what crashes them to "/records/1" until 2 have crashed
      And 2 crashes are written within 2 seconds
      And all routers are replaced
      And it comes again to "/records/1" 4 times after 0 seconds
      Then it reaches at most 0 more upstreams

    Scenario: A new router that the store tells nothing asks its peers
      Given a store with a configuration
      And 5 upstreams of "registry" that come back after a crash
      And routers that call each other
      And 2 direct routers
      And each router knows the 1 other
      When callers send what crashes them to "/records/1" until 2 have crashed
      And the store forgets all crashes
      And another router starts that the others know
      And it comes again to "/records/1" 3 times after 1 second
      Then it reaches at most 0 more upstreams

    Scenario: A crash that some peer did not hear of is written to the store
      # Symptom: a router that is cut off from the others, but not from the
      #   store, lets a request through that two others block.
      # Sequence: each of two routers sees one crash; a third one does not
      #   answer them.
      # Cause: one crash alone is told to peers, and not worth a write.
      Given a store with a configuration
      And a public path "/open/" of "registry" with one attempt
      And 5 upstreams of "registry" that come back after a crash
      And routers that call each other
      And 2 direct routers
      And a router in the store that answers nobody
      And each router knows the 2 others
      When callers send what crashes them to "/open/1" until 1 has crashed
      Then 1 crash is written within 2 seconds

    Scenario: A crash that all have heard of is not written
      Given a store with a configuration
      And a public path "/open/" of "registry" with one attempt
      And 5 upstreams of "registry" that come back after a crash
      And routers that call each other
      And 2 direct routers
      And each router knows the 1 other
      When callers send what crashes them to "/open/1" until 1 has crashed
      Then no crash is written within 1 second

    Scenario: Entries that somebody else wrote hide none
      Given a store with a configuration
      And 5 upstreams of "registry" that come back after a crash
      And 2 direct routers
      When others write crashes that can't be read
      And callers send what crashes them to "/records/1" until 2 have crashed
      And it comes again to "/records/1" 4 times after 0 seconds
      Then it reaches at most 0 more upstreams

    Scenario: A stop ends a call whose connection is lost meanwhile
      # Symptom: a router that was told to stop logs "Stopped." and goes on
      #   to exist; it is not started again, and serves nobody.
      # Sequence: it is cancelled while it calls a peer, and that connection
      #   ends at the same moment, as when several routers stop together.
      # Cause: the call reported the lost connection as its result, and the
      #   cancellation with it was gone: the loop around it went on for ever.
      When a call to a peer is cancelled as its connection is lost
      Then the call ends cancelled

    Scenario: A call whose connection is lost does not end its caller
      # Symptom: a router hears nothing of others any more, and tells them
      #   nothing, until it is started again; its log says nothing.
      # Sequence: a peer is killed, or cut off, while it is called.
      # Cause: the library wakes up whoever waits on a lost connection by
      #   cancelling its task, which was taken for a stop of the router.
      When the connection of a call to a peer is lost
      Then the call is answered as one without a reply

    Scenario: A call that is late ends no other call to the same peer
      # Symptom: a large document never arrives over a link that it fills.
      # Sequence: while it is under way, the short exchanges with the same
      #   peer come late.
      # Cause: a late call closed the connection that all calls share.
      When two calls to a peer are under way and the first is late
      Then the second is answered

  Rule: Who merely ran beside a crash is not shut out

    Scenario Outline: One request explains the crashes of others
      # Each word before a semicolon is a request that ran at one crash, with
      # + after an event. Whatever the order in which routers hear of them,
      # they block the same.
      When routers hear of the crashes "<crashes>" in any order
      Then they block "<blocked>"

      Examples: enough
        | crashes               | blocked |
        | a b; a c              | a    |
        | a b c; a b d; a e     | a    |
        | a b; a b; a+ b; b     | b    |
        | a+ b+; a+ c+; a+ d+   | a    |
        | a b; a b; a b         | a b  |
        | a b; a c; a d; b e; b | a b  |

      Examples: not enough
        | crashes     | blocked |
        | a b c       |      |
        | a b; a b    |      |
        | a+ b; a+ c+ |      |
        | a b; b c; c |      |

    Scenario: A request that is answered has crashed nothing before
      When routers hear of the crashes "a b; a c; a d" in any order
      And "a" is answered at one of them, and told to the others
      Then they block ""

    Scenario Outline: One crash breaks off the runs of many connections
      # A cut link ends connections like a crash does, and nothing has
      # started again after it.
      When an upstream that <listens> crashes under "a" at 1000
      And a run of "a" on a connection opened at <opened> is broken off there
      Then "a" is held to have run at <crashes>

      Examples:
        | listens          | opened | crashes   |
        | listens no more  | 999    | 1 crash   |
        | listens no more  | 1001   | 2 crashes |
        | can't be reached | 1001   | 1 crash   |

    Scenario: A crash counts for ten minutes
      When routers hear of the crashes "a; a; a" in any order
      And 601 seconds pass
      Then they block ""

    Scenario Outline: Blocks for the same crashes are ambiguous
      # Guards against refusing a harmless request for ten minutes because it
      # ran at the same crashes as the one that caused them.
      When routers hear of the crashes "<crashes>" in any order
      Then the blocks of "<ambiguous>" are ambiguous

      Examples:
        | crashes               | ambiguous |
        | a b; a b; a b         | a b       |
        | a b; a b; a b; a c    |           |
        | a b; a c              |           |
        | a b; a c; a d; b e; b |           |

    Scenario: Probes of a request are infrequent
      # Guards against probes that crash one upstream after another.
      When the block of "a" stays ambiguous for 300 seconds
      Then its first probe comes after 2 to 4 seconds
      And it is probed at most 10 times

    Scenario Outline: The retry delay of a recent or ambiguous block is short
      # Guards against a retry delay of minutes before other routers have
      # reported which requests ran at the same crashes.
      When routers hear of the crashes "<crashes>" in any order
      And <seconds> seconds pass
      Then "a" may be retried after <least> to <most> seconds

      Examples:
        | crashes       | seconds | least | most |
        | a b; a c      | 0       | 1     | 5    |
        | a b; a c      | 3       | 590   | 600  |
        | a b; a b; a b | 3       | 1     | 5    |

    Scenario: A harmless request blocked with the cause is admitted again
      # Guards against blocking a harmless request for ten minutes.
      Given a store with a configuration
      And 5 upstreams of "registry" that come back after a crash
      And routers that call each other
      And 2 direct routers
      And each router knows the 1 other
      When 3 crashes are reported under a crashing and a harmless request
      Then the harmless request is refused with a short retry delay
      And it is served by all routers within 10 seconds
      And the crashing request reaches at most 3 more upstreams in 12 seconds

    Scenario: On the model others are let through
      # Load pattern: a caller repeats what crashes engines, 37 others a
      # second run beside it, and one in five of these asks what others ask.
      When one caller of the model crashes engines in 10 plays
      Then at most 3 engines crash in a play, in the mean
      And none of the others is shut out
