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
