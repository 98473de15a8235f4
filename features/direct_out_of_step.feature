Feature: A router that is out of step joins no streams of two versions

  During a release one router gets no news for a while: the store or the other
  routers do not reach it, or it stands still. Callers take streams up at it.

  Background:
    Given a store with a configuration
    And routers that call each other
    And routers that believe keys for 60 s
    And a router 2 with a connection of its own to the store

  Scenario: Streams taken up while upstreams start again under their ids
    # Guards against a new start that is taken for the start that the entry
    # names, by a router with no connection to it.
    Given an engine "eng-1" of software "v1"
    And an engine "eng-2" of software "v1"
    And 2 routers that know each other
    And 12 streams of which router 1 has relayed the first event
    When no call of router 2 reaches the store
    And "eng-1" starts again with software "v2", as router 1 knows
    And the streams are taken up at router 2
    Then no stream goes on at software "v2"
    And at least 6 streams go on at software "v1"
    And the log tells that their versions were recorded

  Scenario: A stream goes on at an upstream that started again unseen
    # Guards against a new start that goes on with the stream of another
    # upstream within one answer.
    Given an engine "eng-1" of software "v1"
    And an engine "eng-2" of software "v1"
    And 2 routers that know each other
    And router 2 relays a stream of one of them
    When no call of router 2 reaches the store
    And the other one starts again with software "v2", as router 1 knows
    And the one with the stream ends
    Then the open stream holds events of software "v1" only

  Scenario: A router that is cut off meets a stream of a version it never saw
    # Guards against a version that is inferred from a list of upstreams that
    # is older than the stream.
    Given an engine "eng-1" of software "v1"
    And 2 routers that know each other
    And both routers have known the engines for long
    When no call of router 2 reaches the store
    And router 1 reaches no peer
    And router 2 reaches no peer
    And an engine "eng-2" of software "v2" joins, as router 1 knows
    And 1 streams of which router 1 has relayed the first event from "eng-2"
    And the streams are taken up at router 2
    Then no stream goes on at software "v1"
    And each take-up was refused within 1.0 s

  Scenario: A stream of a start without an entry is taken up
    # Guards against a version that is inferred where the start that began the
    # stream has written no entry yet.
    Given an engine "eng-1" of software "v1"
    And an engine "eng-2" of software "v1"
    And 2 routers that know each other
    And both routers have known the engines for long
    When "eng-1" starts again with software "v2", without an entry
    And 1 streams of which router 1 has relayed the first event from "eng-1"
    And the streams are taken up at router 2
    Then no stream goes on at software "v1"
    And each take-up was refused within 1.0 s

  Scenario: A stream of a start that answers no report is taken up
    # Guards against a version that is inferred where no report has told which
    # start began the stream.
    Given an engine "eng-1" of software "v1"
    And an engine "eng-2" of software "v1"
    And 2 routers that know each other
    And both routers have known the engines for long
    When "eng-1" starts again with software "v2", without an entry
    And "eng-1" answers no report
    And 1 streams of which router 1 has relayed the first event from "eng-1"
    And the streams are taken up at router 2
    Then no stream goes on at software "v1"
    And each take-up was refused within 1.0 s

  Scenario: A router without peers meets a stream of a start without an entry
    # Guards against an entry of the start before that confirms an inferred
    # version, where the routers that know better are unreachable.
    Given an engine "eng-1" of software "v1"
    And an engine "eng-2" of software "v1"
    And 2 routers that know each other
    And both routers have known the engines for long
    When router 1 reaches no peer
    And router 2 reaches no peer
    And "eng-1" starts again with software "v2", without an entry
    And 1 streams of which router 1 has relayed the first event from "eng-1"
    And the streams are taken up at router 2
    Then no stream goes on at software "v1"
    And each take-up was refused within 1.0 s

  Scenario: Streams of the only version go on although nobody has a record
    # Guards against streams that are refused in calm because the only router
    # that has a record of them does not answer.
    Given an engine "eng-1" of software "v1"
    And 2 routers that know each other
    And both routers have known the engines for long
    And 6 streams of which router 1 has relayed the first event
    When router 2 reaches no peer
    And the streams are taken up at router 2
    Then at least 6 streams go on at software "v1"
    And the log tells that their versions were inferred

  Scenario: A connection that takes long to open counts from its end on
    # Guards against a report of the start before that is taken for one of the
    # start that accepted the connection.
    When a connection to an upstream takes 0.1 s to open
    Then it counts as opened after that time

  Scenario: Engines that do not answer hold no reports of others up
    # Guards against streams that can't go on at sound engines because many
    # others are silent.
    Given 12 engines that answer no report and 1 that does
    When reports of all of them are requested at once
    Then the report of the one that answers comes while the others wait

  Scenario Outline: Streams of a killed router go on beside an engine <state>
    # Guards against one engine that does not answer, so that no stream is
    # taken up.
    Given an engine "eng-1" of software "v1"
    And an engine "eng-2" of software "v1"
    And an engine "eng-3" of software "v1"
    And an engine "eng-4" of software "v1"
    And 2 routers that know each other
    And both routers have known the engines for long
    And 12 streams of which router 1 has relayed the first event
    When router 1 is killed
    And router 2 reaches no peer
    And engine "eng-4" is <state>
    And 12 new streams are asked for at router 2
    And the streams are taken up at router 2
    Then at least 12 new streams began
    And at least 6 streams go on at software "v1"

    Examples:
      | state  |
      | sound  |
      | silent |

  Scenario: A silent engine of one service refuses no streams of another
    # Guards against inquiries about one service that hold up those of others.
    When streams of two services are taken up, one with a silent engine
    Then at least 45 of 50 versions of the other one are confirmed

  Scenario: Take-ups in calm ask no engine
    # Guards against a report of each engine for each stream that is taken up
    # where more routers run than are asked for its record.
    When streams of 30 routers in calm are taken up at other ones
    Then no inquiry asks the engines

  Scenario: A connection that is closed while its start is asked for
    # Guards against an error where an upstream resets a connection beyond its
    # limit before the started stream is sent on it.
    When an upstream closes a connection while its start is asked for
    Then the attempt ends as one that was not sent

  Scenario: A version is remembered although a report told of its end first
    # Guards against a record of versions that is never written again, and a
    # version that is forgotten while its streams may be taken up.
    Given an engine "eng-1" of software "v1"
    And 1 routers that know each other
    When "eng-1" starts again with software "v2", without an entry
    And router 1 learns of the start by a report
    And the entry of "eng-1" tells of software "v2"
    Then router 1 remembers software "v1" and "v2"
