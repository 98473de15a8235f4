Feature: A stream goes on only at the software version that began it

  What two versions of an upstream's software write does not fit together, and
  upstreams don't check it.

  Background:
    Given a store with a configuration
    And routers that call each other

  Rule: One answer holds events of one software version

    Scenario: A stream whose software version has no other engine is aborted
      # Guards against events of two software versions in one answer.
      Given an engine "eng-1" of software "v1"
      And an engine "eng-2" of software "v2"
      And 1 routers that know each other
      And the next upstream cut
      When a caller asks a model
      Then the caller's answer is aborted
      And exactly one upstream received the request

    Scenario: A stream goes on at an engine of its software version
      # Guards against a stream that is aborted although it could go on.
      Given an engine "eng-1" of software "v1"
      And an engine "eng-2" of software "v2"
      And an engine "eng-3" of software "v1"
      And an engine "eng-4" of software "v2"
      And 1 routers that know each other
      And the next upstream cut
      When a caller asks a model
      Then the answer is 200 with all events once and in order
      And all engines that received the request have one software version

    Scenario: A run is copied to an engine of its software version only
      # Guards against a run that goes on from its copy at another version.
      Given an engine "eng-1" of software "v1"
      And an engine "eng-2" of software "v2"
      And 1 routers that know each other
      And engines that copy the KV cache of runs
      And the next upstream cut
      When a caller requests a non-resumable stream
      Then the caller's answer is aborted
      And no upstream was asked to copy a run

    Scenario: A run goes on from its copy at the same software version
      # Guards against copies that no run may go on from.
      Given an engine "eng-1" of software "v1"
      And an engine "eng-2" of software "v2"
      And an engine "eng-3" of software "v1"
      And an engine "eng-4" of software "v2"
      And 1 routers that know each other
      And engines that copy the KV cache of runs
      And the next upstream cut
      When a caller requests a non-resumable stream
      Then the answer is 200 with all events once and in order
      And all engines that received the request have one software version

    Scenario: An engine whose entries name two versions continues no stream
      # Guards against a guess which of two entries of one start is right.
      Given an engine "eng-1" of software "v1"
      And an engine "eng-2" of software "v1"
      And 1 routers that know each other
      And the entry of "eng-1" names software "v2"
      And the entry of "eng-1" names software "v1"
      And the next upstream cut
      When a caller asks a model
      Then the caller's answer is aborted

    Scenario: An engine that starts again has the version of its new entry
      # Guards against the version that the engine had before it restarted.
      Given an engine "eng-1" of software "v1"
      And an engine "eng-2" of software "v1"
      And 1 routers that know each other
      And "eng-1" starts again with software "v2"
      And the next upstream cut
      When a caller asks a model
      Then the caller's answer is aborted

    Scenario Outline: An engine starts again while the store is away
      # Guards against a stream of a new start that goes on at the software
      # version of the start before, as no entry tells of the new one.
      Given an engine "eng-1" of software "v1"
      And an engine "eng-2" of software "v1"
      And routers that believe keys for 60 s
      And 1 routers that know each other
      And <connection> to each engine
      When no call reaches the store for <away_s> s
      And "eng-1" ends and starts again with software "v2"
      Then no answer holds events of two software versions, with "eng-1" cut off
      When "eng-1" is not cut off any more
      Then streams begin at "eng-1" and "eng-2"

      Examples:
        | connection             | away_s |
        | an open stream         | 0      |
        | an idle connection     | 0      |
        | no connection          | 4.5    |

    Scenario: An engine that nobody saw start again ends under its streams
      # Guards against the version of the start before for streams that a new
      # start began while no connection broke and the list was not stale yet.
      Given an engine "eng-1" of software "v1"
      And an engine "eng-2" of software "v1"
      And routers that believe keys for 60 s
      And 1 routers that know each other
      When no call reaches the store for 0 s
      And "eng-1" ends and starts again with software "v2"
      And a stream is open at each engine
      And "eng-1" ends
      Then no stream holds events of two software versions

    Scenario: An engine that ends leaves its streams to others
      # Guards against streams that are broken off as the start that began them
      # was not asked for before it ended.
      Given an engine "eng-1" of software "v1"
      And an engine "eng-2" of software "v1"
      And 1 routers that know each other
      When a stream is open at each engine
      And "eng-1" ends
      Then each stream is whole

    Scenario: An engine that cut a stream off goes on with others
      # Guards against streams that are broken off in calm, as a single broken
      # connection raises a doubt about the engine for long.
      Given an engine "eng-1" of software "v1"
      And an engine "eng-2" of software "v1"
      And 1 routers that know each other
      When "eng-1" cuts off all of its streams, of 20 in a row
      Then each answer is whole

    Scenario: An engine that only its report says has started again
      # Guards against a version that no entry of the new start has named.
      When an engine of software "v1" reports a later start
      Then its software is unknown until its entry names it

  Rule: A caller takes a stream up at the software version that began it

    Scenario: A stream whose software version has left is refused at once
      # Guards against events of two software versions over a caller's tries.
      Given an engine "eng-1" of software "v1"
      And 2 routers that know each other
      And a caller that read the first event of a stream at router 1
      And an engine "eng-2" of software "v2"
      And "eng-1" is draining
      When it takes the stream up at router 2
      Then the answer is 503 with a time to come back
      And no engine of software "v2" received anything

    Scenario Outline: A stream goes on at another router
      # Guards against streams that no other router can take up.
      Given an engine "eng-1" of software "v1"
      And <count> routers that know each other
      And a caller that read the first event of a stream at router 1
      And an engine "eng-2" of software "v2"
      When it takes the stream up at router <count>
      Then the answer is 200 with the events after the first one
      And no engine of software "v2" received anything

      Examples:
        | count |
        | 2     |
        | 4     |

    Scenario: A stream goes on after the router that relayed it was killed
      # Guards against records that end with the only router that had them.
      Given an engine "eng-1" of software "v1"
      And 4 routers that know each other
      And a caller that read the first event of a stream at router 1
      And an engine "eng-2" of software "v2"
      And router 1 is killed
      When it takes the stream up at router 3
      Then the answer is 200 with the events after the first one
      And no engine of software "v2" received anything

    Scenario: A stream is taken up twice
      # Guards against a second try that is known under the first one's id only.
      Given an engine "eng-1" of software "v1"
      And 3 routers that know each other
      And a caller that read the first event of a stream at router 1
      And an engine "eng-2" of software "v2"
      And router 1 is killed
      When it takes the stream up at router 2
      And router 2 is killed
      And it takes the stream up at router 3
      Then the answer is 200 with the events after the first one
      And no engine of software "v2" received anything

    Scenario: A stream stays with its service where a route has several
      # Guards against a stream that another service of its route continues.
      Given an engine "eng-1" of software "v1"
      And 2 routers that know each other
      And a caller that read the first event of a stream at router 1
      And the route now leads to two services
      When it takes the stream up at router 2 ten times
      Then every answer is 200 with the events after the first one

    Scenario Outline: A router that can't know the version refuses at once
      # Guards against a guess at the version that began a stream.
      Given an engine "eng-1" of software "v1"
      And 2 routers that know each other
      And a caller that read the first event of a stream at router 1
      When it takes the stream up at router 2 with <what>
      Then the answer is 503 with a time to come back
      And exactly one upstream received the request

      Examples:
        | what                  |
        | no Resumes            |
        | a Resumes made up     |
        | the key of another team |

    Scenario: A stream of the only software version goes on without a name
      # Guards against streams that are refused where no version is in doubt.
      Given an engine "eng-1" of software "v1"
      And 2 routers that know each other
      And both routers have known the engines for long
      And a caller that read the first event of a stream at router 1
      When it takes the stream up at router 2 with no Resumes
      Then the answer is 200 with the events after the first one

    Scenario: A stream goes on soon after the first start of the system
      # Guards against streams that are refused for the first half minute of a
      # system that has just been started.
      Given an engine "eng-1" of software "v1"
      And a system that starts for the first time
      And 2 routers that know each other
      And both routers have confirmed the engines
      And a caller that read the first event of a stream at router 1
      When it takes the stream up at router 2 with no Resumes
      Then the answer is 200 with the events after the first one

    Scenario Outline: A version is the only one if no other was there for long
      # Guards against a version that is taken for that of a stream which
      # another one began.
      Given a list of upstreams that is <observed>
      And it has had <upstreams>
      When a stream of the last 10 s is taken up without a name
      Then the only version is <version>

      Examples:
        | observed                    | upstreams                       | version |
        | confirmed for 20 s          | v1 only                         | v1      |
        | confirmed for 9 s           | v1 only                         | unknown |
        | unconfirmed for 4 s         | v1 only                         | unknown |
        | confirmed again for 9 s     | v1 only                         | unknown |
        | confirmed for 20 s          | v1 and v2                       | unknown |
        | confirmed for 20 s          | v1, and v2 until 9 s ago        | unknown |
        | confirmed for 20 s          | v1, and v2 until 11 s ago       | v1      |
        | confirmed for 20 s          | v1, one renamed to v2 9 s ago   | unknown |
        | confirmed for 20 s          | v1 and one not known            | unknown |
        | confirmed for 20 s          | none                            | unknown |

      Examples: The whole system was started for the first time
        | observed                                | upstreams            | version |
        | confirmed for 1 s, first start          | v1 only              | v1      |
        | confirmed for 1 s, first start          | v1 and v2            | unknown |
        | confirmed for 1 s, first start          | v1, and v2 until 1 s ago | unknown |
        | late for 30 s, then 1 s, first start    | v1 only              | v1      |
        | unconfirmed for 4 s, first start        | v1 only              | unknown |
        | old at first, then 1 s, first start     | v1 only              | unknown |
        | confirmed again for 9 s, first start    | v1 only              | unknown |
        | confirmed again for 20 s, first start   | v1 only              | v1      |

    Scenario: An id of two streams tells nothing
      # Guards against the version of the wrong one of two streams.
      Given an engine "eng-1" of software "v1"
      And 2 routers that know each other
      And a caller that read the first event of a stream at router 1
      And an engine "eng-2" of software "v2"
      And "eng-1" is draining
      And a caller that read the first event of a stream at router 2
      When it takes the stream up at router 1
      Then the answer is 503 with a time to come back

    Scenario: A router that its peers don't answer refuses at once
      # Guards against a guess by a router that is cut off from its peers.
      Given an engine "eng-1" of software "v1"
      And 2 routers that know each other
      And router 1 reaches no peer
      And router 2 reaches no peer
      And a caller that read the first event of a stream at router 1
      When it takes the stream up at router 2
      Then the answer is 503 with a time to come back
      And it was refused within 0.5 s

  Rule: Routers find what other routers recorded

    Scenario Outline: Records survive routers that are killed
      # Guards against streams that are lost with one router.
      Given <routers> routers that record 400 streams
      When <killed> of them are killed and the others look the streams up
      Then at least <share> of the streams that others relayed are known
      And no stream has the version of another

      Examples:
        | routers | killed | share |
        | 4       | 1      | 1.0   |
        | 30      | 1      | 1.0   |
        | 30      | 15     | 0.7   |
        | 330     | 33     | 0.97  |

    Scenario: A keeper that does not answer is replaced
      # Guards against records that only a router without power was to keep.
      Given 8 routers that record 100 streams while 2 others have no power
      When 1 of them are killed and the others look the streams up
      Then at least 1.0 of the streams that others relayed are known

    Scenario Outline: Records are sent once there may be two versions
      # Guards against messages for each stream while no version is in doubt,
      # and against streams that nobody knows once one is.
      Given 4 routers that have long known software "v1" only
      When router 1 relays a stream and "v2" appears <where>
      Then <what>
      And its record was sent to <count> routers

      Examples:
        | where            | what                                    | count |
        | nowhere          | the stream is known to have begun at "v1" | 0     |
        | everywhere       | the stream is known to have begun at "v1" | 2     |
        | at router 2 only | nothing is known of the stream          | 0     |

    Scenario Outline: A router that has just started asks what others observed
      # Guards against streams that a restarted router refuses needlessly.
      Given 4 routers that have long known software "v1" only
      When router 2 has just started and is asked for a stream <named>
      Then the stream is known to have begun at "v1"

      Examples:
        | named          |
        | by its name    |
        | without a name |

    Scenario: Records are removed once their streams are over
      # Guards against memory that grows with the streams of a day.
      When 50000 streams begin, 1000 a second, that last 5 s each
      Then no router holds more than 6000 records
      And none are left 6 s after the last stream
