Feature: What incidents left open, each with a run that shows it

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
