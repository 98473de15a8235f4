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
    And router 2 relays a stream of "eng-2"
    When no call of router 2 reaches the store
    And "eng-1" starts again with software "v2", as router 1 knows
    And "eng-2" ends
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
    And each take-up was refused within 0.6 s

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
    And each take-up was refused within 0.6 s

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
    And each take-up was refused within 0.6 s

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
    Given 40 engines that answer no report and 1 that does
    When reports of all of them are requested at once
    Then the report of the one that answers comes while the others wait
