@slow
Feature: Messages of other routers without end are cut off at their bounds

  A faulty router sends a message that does not end. One router process and
  four engines; the bounds compare with the same load before.

  Scenario: Other routers send messages without end
    # Guards against a router whose memory another one takes: a message is
    # read for as many bytes as it says that it has.
    Given a store with a configuration
    And 4 engines and a router process that other routers call
    And a calm load for 0.8 s
    When 3 routers send it messages of 2 GiB under that load for 1.2 s
    Then memory peaks at most 16 MiB above
    And all requests are served, at most 0.5 s later than before

  Scenario: Another router answers a call without end
    # Guards against calls that read an answer until their time is up, some
    # 65 MiB in a second.
    When a router answers a call of at most 2 s with a message of 2 GiB
    Then the call fails for its size within 0.5 s

  Scenario: A message that comes slowly is not awaited for ever
    # Guards against a call that another router keeps open for as long as it
    # sends: calls of routers wait for half a second at most.
    When 3 routers send one messages of 1000 bytes slowly for 3 s
    Then each of these calls was refused after at most 2.5 s
