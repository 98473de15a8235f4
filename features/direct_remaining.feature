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
      Given the system starts for the first time
      And a direct router
      And the store soon has the record of its era
      When a key is revoked and the store is restored to a snapshot from before
      And a new router takes its place
      Then no request with that key is answered 200 for 2 s
