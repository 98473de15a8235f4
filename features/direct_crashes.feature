Feature: Requests that crash upstreams are blocked

  Rule: A request under which three upstreams crashed is blocked

    Scenario Outline: A request that crashes upstreams is repeated
      # Guards against one request that crashes engine after engine: up to
      # five crashed within 1.2 seconds, and 53 were started in 100 seconds
      # instead of five. Routers retried the request on other engines as if
      # each had failed independently ("i-e767879241 stream_broken 336 ms",
      # then "i-fb8d44fd1a stream_broken 186 ms"), and its caller repeated it
      # at any router under a new id. Routers neither recorded nor shared the
      # outcome: the request crashed 21 engines, was sent to engines eleven
      # times after the third crash, and hundreds of concurrent streams broke.
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

    Scenario: A blocked request is refused as not run, with a retry time
      Given a store with a configuration
      And 5 upstreams of "registry" that come back after a crash
      And a direct router
      When callers send what crashes them to "/records/1" until 2 have crashed
      And it comes again to "/records/1" 1 time after 0 seconds
      Then the answer is 503 with a time to come back
      And it reaches at most 0 more upstreams

    Scenario: An upstream that resets connections has not crashed
      # Guards against blocking a request whose upstream only lost
      # connections. They are reset four times under the same request, and the
      # upstream accepts the next one at once. A reset alone does not show
      # whether the peer has terminated.
      Given a store with a configuration
      And plain upstreams "reg-1" and "reg-2"
      And a direct router
      And each upstream resets its next 2 requests
      When callers send a harmless request to "/records/1" 3 times
      Then the answer is 200 with the whole body and its proof

  Rule: All routers act on the crashes that one of them detects

    Scenario: The store is unavailable
      # Guards against a request that crashes two upstreams per router. While
      # the store was unavailable, upstreams crashed under one request at one
      # router after the other, as crashes were shared only through the store.
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

    Scenario: The store is unavailable and one upstream crashes twice
      # Guards against a request that crashes the same upstream repeatedly
      # while the store is unavailable. Routers know only the incarnation that
      # they read last, and an incarnation crashes at most once, so the crash
      # after a restart was counted as the same one.
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

    Scenario: The peer port of a router is in use when it starts
      # Guards against a router that shares its crashes with neither peers
      # nor the store until it is restarted. Its peer port was in use when it
      # started, for example by the previous process that was still draining.
      # It tried to listen only once; then closing the server failed as well,
      # which ended all sharing of crashes.
      Given a store with a configuration
      And a public path "/open/" of "registry" with one attempt
      And 5 upstreams of "registry" that come back after a crash
      And routers that call each other
      And another process listens on their peer ports
      And 2 direct routers
      And each router knows the 1 other
      When callers send what crashes them to "/open/1" until 2 have crashed
      Then 2 crash records are saved within 2 seconds

    Scenario: The peer port of a router becomes free after it started
      Given a store with a configuration
      And a public path "/open/" of "registry" with one attempt
      And 5 upstreams of "registry" that come back after a crash
      And routers that call each other
      And another process listens on their peer ports
      And 2 direct routers
      And each router knows the 1 other
      And that process has ended
      When the store is busy
      And callers send what crashes them to "/open/1" until 2 have crashed
      And it comes again to "/open/1" 4 times after 0 seconds
      Then it reaches at most 0 more upstreams

    Scenario: All routers are new
      # Guards against a request that crashes upstreams again after all
      # routers were replaced. Two upstreams crash under it, all routers are
      # killed, and the new ones have no peer that received the records.
      Given a store with a configuration
      And 5 upstreams of "registry" that come back after a crash
      And routers that call each other
      And 2 direct routers
      And each router knows the 1 other
      When callers send what crashes them to "/records/1" until 2 have crashed
      And 2 crash records are saved within 2 seconds
      And all routers are replaced
      And it comes again to "/records/1" 4 times after 0 seconds
      Then it reaches at most 0 more upstreams

    Scenario: A new router without records in the store asks its peers
      Given a store with a configuration
      And 5 upstreams of "registry" that come back after a crash
      And routers that call each other
      And 2 direct routers
      And each router knows the 1 other
      When callers send what crashes them to "/records/1" until 2 have crashed
      And all crash records are removed from the store
      And another router starts that the others know
      And it comes again to "/records/1" 3 times after 1 second
      Then it reaches at most 0 more upstreams

    Scenario: A crash that some peer did not receive is saved to the store
      # Guards against a router that admits a request that two others block,
      # because it can reach the store but not its peers. Each of the two
      # detects one crash, and the third one does not answer them. A single
      # crash is otherwise sent only to peers and not written to the store.
      Given a store with a configuration
      And a public path "/open/" of "registry" with one attempt
      And 5 upstreams of "registry" that come back after a crash
      And routers that call each other
      And 2 direct routers
      And a registered router that does not respond
      And each router knows the 2 others
      When callers send what crashes them to "/open/1" until 1 has crashed
      Then 1 crash record is saved within 2 seconds

    Scenario: A crash that all peers received is not saved to the store
      Given a store with a configuration
      And a public path "/open/" of "registry" with one attempt
      And 5 upstreams of "registry" that come back after a crash
      And routers that call each other
      And 2 direct routers
      And each router knows the 1 other
      When callers send what crashes them to "/open/1" until 1 has crashed
      Then no crash record is saved within 1 second

    Scenario: Invalid records in the store do not hide valid ones
      Given a store with a configuration
      And 5 upstreams of "registry" that come back after a crash
      And 2 direct routers
      When another client writes invalid crash records
      And callers send what crashes them to "/records/1" until 2 have crashed
      And it comes again to "/records/1" 4 times after 0 seconds
      Then it reaches at most 0 more upstreams

    Scenario: Cancelling a call whose connection is lost takes effect
      # Guards against a stopped router whose process does not exit: it logs
      # "Stopped.", serves no requests and is not restarted. It was cancelled
      # while it called a peer, and that connection closed at the same moment,
      # as when several routers stop together. The call returned the lost
      # connection as its result and swallowed the cancellation, so the loop
      # around it never ended.
      When a call to a peer is cancelled as its connection is lost
      Then the call ends cancelled

    Scenario: A call whose connection is lost does not cancel its caller
      # Guards against a router that stops exchanging records, without a log
      # line, until it is restarted. A peer is killed or partitioned during a
      # call. The library cancels the task that waits on the lost connection,
      # which was handled as a shutdown of the router.
      When the connection of a call to a peer is lost
      Then the call is not cancelled

    Scenario: A call that times out ends no other call to the same peer
      # Guards against a large document that never arrives over a link that
      # it saturates. Short exchanges with the same peer time out meanwhile,
      # and a timeout closed the connection that all calls share.
      When two calls to a peer are in progress and the first times out
      Then the second call is answered

  Rule: Requests that only ran during a crash are not blocked

    Scenario Outline: One request explains the crashes of others
      # Semicolons separate crashes; each word is a request that ran at that
      # crash, with + if it had returned an event. The result must not depend
      # on the order in which routers receive the crashes.
      When routers receive the crashes "<crashes>" in any order
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

    Scenario: A request that completes caused none of the earlier crashes
      When routers receive the crashes "a b; a c; a d" in any order
      And "a" completes at one of them, which informs the others
      Then they block ""

    Scenario Outline: One crash breaks the runs of many connections
      # A network partition closes connections as a crash does, but without
      # a restart of the upstream.
      When an upstream that <listens> crashes under "a" at 1000
      And a run of "a" there breaks on a connection opened at <opened>
      Then "a" is recorded as running at <crashes>

      Examples:
        | listens          | opened | crashes   |
        | listens no more  | 999    | 1 crash   |
        | listens no more  | 1001   | 2 crashes |
        | can't be reached | 1001   | 1 crash   |

    Scenario: A crash counts for ten minutes
      When routers receive the crashes "a; a; a" in any order
      And 601 seconds pass
      Then they block ""

    Scenario Outline: Blocks for the same crashes are ambiguous
      # Guards against refusing a harmless request for ten minutes because it
      # ran at the same crashes as the one that caused them.
      When routers receive the crashes "<crashes>" in any order
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
      When routers receive the crashes "<crashes>" in any order
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

    Scenario: No other request is blocked in the simulation
      # Load pattern: one caller repeats a crash-causing request, 37 other
      # requests per second run concurrently, and one in five of these is the
      # same as another one.
      When one caller crashes engines in 10 simulations
      Then at most 3 engines crash per simulation on average
      And no other request is blocked
