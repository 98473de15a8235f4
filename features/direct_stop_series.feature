@slow
Feature: Routers that stop under load lose no request

  Requests of all kinds come on new and kept connections until the router is
  gone, with bodies that become whole around the signal. Upstreams refuse half
  of the first sends, and answers take up to 7 s of the 8 s of a stop.

  Scenario: A stop under load
    # Guards against requests that are passed on and end without an answer.
    When a router is stopped under the load of seed 1
    Then no request that it had read ended without an answer

  Scenario: A cut request is found
    # Guards against a judge that passes whatever a stop cuts.
    When a router is killed under the load of seed 1 in place of a stop
    Then requests ended without an answer
