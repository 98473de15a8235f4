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
