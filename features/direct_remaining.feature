Feature: What incidents left open, each with a run that shows it

  Rule: Versions that the store has not recorded

    Background:
      Given a store with a configuration
      And routers that call each other

    Scenario: All routers are killed right after a version appeared
      # Guards against a stream that goes on at another version: it began at a
      # new version that the record of versions lacked when all routers ended.
      Given an engine "eng-1" of software "v1"
      And a system that starts for the first time
      And 2 routers that know each other
      And the store has the versions "v1"
      When an engine "eng-2" of software "v2" joins, as router 1 knows
      And 1 streams of which router 1 has relayed the first event from "eng-2"
      And all routers are killed
      And "eng-2" ends, and its entry lapses
      And a router that starts later
      And the streams are taken up at the new router
      Then no stream goes on at software "v1"

    Scenario: The store returns from a copy without a version that has left
      # Guards against a record that is believed although it is older than the
      # one that was read before.
      Given recorded versions "v1, v2" of a list that is observed
      When the store returns from a copy in which the record has "v1"
      Then the only version of the last 20 s is unknown
      And the record has the versions "v1, v2"

    Scenario: The store was away before it returned from a copy
      # Guards against a record of the copy that is believed by a router whose
      # list of upstreams was unconfirmed for a while.
      Given recorded versions "v1, v2" of a list that is observed
      When the list is not observed for 4 s
      And the store returns from a copy in which the record has "v1"
      Then the only version of the last 20 s is unknown
      And the record has the versions "v1, v2"

    Scenario: A version that another router has just recorded is kept
      # Guards against a record that lacks a version: a router that knows all
      # versions removes one that left long ago, and with it one that its own
      # list does not have yet.
      Given recorded versions "v0, v1" of a list that has "v1" for long
      When another router records "v0, v1, v2" before the next update
      Then the record has the versions "v1, v2"

  Rule: A first start that the settings state again

    Background:
      Given a store with a configuration
      And plain upstreams "reg-1" and "reg-2"

    Scenario: A router starts again right after a restore
      # Guards against a revoked key that is served: the configuration of the
      # copy counted as confirmed, as the settings say that the system starts
      # for the first time.
      Given routers that start again with the settings of the first start
      And a direct router
      When a key is revoked and the store is restored to a snapshot from before
      And a new router takes its place
      Then no request with that key is answered 200 for 2 s

  Rule: Routers that start again and again with the settings of a first start

    Background:
      Given a store with a configuration
      And routers that call each other

    Scenario: All routers are killed time and again while versions come and go
      # Guards against streams that go on at another version, and against
      # streams that are always refused.
      Given an engine "eng-1" of software "v1"
      And a system that starts for the first time
      When all routers are killed 6 times while versions come and go
      Then no stream went on at another version, and some went on

  Rule: Answers that swallow the next one, and answers that are cut off

    Background:
      Given a store with a configuration
      And 4 upstreams that fail as scripted, and as many engines
      And a direct router

    Scenario Outline: A copy <copy> swallows the next answer
      # Guards against a wrong answer, an untrue "not run", a second run of a
      # request that may run once, and callers that wait for an answer that was
      # read as the rest of another one.
      When callers send each kind of request, and a copy <copy> precedes <answer>
      Then requests that may run once got 502 and ran once
      And the others got the whole answer of a second run
      And each of them was answered within 1.0 s

      Examples: copies
        | copy                         | answer                |
        | without framing              | a success             |
        | in chunks that do not end    | a success             |
        | shorter than its length      | a failure             |
        | shorter than its length      | a success sent twice  |

    Scenario Outline: A copy swallows any number of bytes of <answer>
      # Guards against the rest of an answer that is read as an answer.
      When copies swallow every number of bytes of <answer>
      Then no send ends with anything but <ends>

      Examples: answers
        | answer                      | ends                            |
        | a success                   | "may have run"                  |
        | a refusal                   | "may have run"                  |
        | a refusal without an id     | "may have run"                  |
        | a success sent twice        | its own answer or "may have run" |

    Scenario Outline: A refusal without an id comes <when> on a new connection
      # Guards against a request that runs twice: such a refusal was believed
      # as the first answer that counts, although the connection had brought
      # another request's answer.
      When a new connection brings a refusal without an id <when>
      Then a request that may run once <ends>

      Examples: refusals
        | when                                | ends                        |
        | first                               | did not run                 |
        | after an answer to somebody         | got 502, one run            |
        | after a refusal of somebody         | got 502, one run            |

    Scenario: Answers cut off anywhere, in series
      # Guards against a part of an answer that passes for a whole one, and
      # against second runs after it, on connections that carried others.
      When 100 requests of each kind meet answers cut off at random bytes
      Then each got its whole answer, or an incomplete one or 502 after one run

  Rule: Streams whose start nobody has confirmed

    Background:
      Given a store with a configuration
      And routers that call each other
      And an engine "eng-1" of software "v1"
      And an engine "eng-2" of software "v1"
      And 2 routers that know each other
      And both routers have known the engines for long

    Scenario: A router is killed with its records as a version appears
      # Guards against a stream that goes on at another version: its record was
      # held back, as there was one version only, and is lost.
      Given 6 streams of which router 1 has relayed the first event
      When router 1 is killed
      And an engine "eng-3" of software "v2" joins, as router 2 knows
      And the streams are taken up at router 2
      Then no stream goes on at software "v2"

    Scenario: A start of the same version has no entry yet
      # Guards against a stream that goes on although no entry has told the
      # version of the start that began it.
      When "eng-1" starts again with software "v1", without an entry
      And 1 streams of which router 1 has relayed the first event from "eng-1"
      And the streams are taken up at router 2
      Then each take-up was refused within 1.0 s

  Rule: What streams cost in reports

    Background:
      Given a store with a configuration
      And an engine "eng-1" of software "v1"
      And an engine "eng-2" of software "v1"
      And a direct router

    Scenario: Streams of the target load ask for few reports
      # Guards against a report for each stream in calm.
      When 23 streams a second are asked for during 1 s
      Then engines were asked for no more reports than connections were opened

    Scenario: Streams that begin at once share reports
      # Guards against a report for each of many streams that begin together.
      When 40 streams are asked for at once
      Then engines were asked for fewer reports than streams

  Rule: Responses cut off on TLS connections

    Scenario Outline: No cut on a TLS connection leaves a response that counts
      # Guards against a part of a response that counts as a whole one, whether
      # the server says that it closes the connection or not.
      When a <method> over TLS gets responses cut off, <notified> a notification
      Then no cut response arrived, and the whole ones did

      Examples:
        | method | notified |
        | get    | with     |
        | post   | with     |
        | get    | without  |
        | post   | without  |
