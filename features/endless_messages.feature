@slow
Feature: Messages of other routers without end are cut off at their bounds

  A faulty router sends a message that does not end. One router process and
  four engines; the bounds compare with the same load before.

  Scenario: Other routers send messages without end
    # Guards against a router whose memory another one takes: a message is
    # read for as many bytes as it says that it has.
    Given a store with a configuration
    And 4 engines and a router process that other routers call
    And a calm load for 1 s
    When 3 routers send it messages of 2 GiB under that load for 1.5 s
    Then memory peaks at most 16 MiB above
    And all requests are served, at most 0.5 s later than before

  Scenario: Another router answers a call without end
    # Guards against calls that read an answer until their time is up, some
    # 65 MiB in a second.
    When a router answers a call of at most 2 s with a message of 2 GiB
    Then the call fails for its size within 0.5 s
