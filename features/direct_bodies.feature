Feature: Slow bodies and early answers do not corrupt other requests

  Background:
    Given a store with a configuration
    And an upstream that answers before it has read a body
    And a direct router

  Scenario: An early answer leaves no bytes for the next request
    # Guards against an upstream that runs a request that nobody sent: it
    # refuses a long request before it has received the body and keeps the
    # connection open. The router stops sending the body but reuses the
    # connection, so the next request is read as the rest of that body.
    When a caller sends a body of 8000000 bytes
    And a caller fetches a record once the upstream is no longer excluded
    Then the record is complete
    And every connection of the upstream carried complete requests only

  Scenario: A body that is received slowly is forwarded completely
    # Guards against an upstream that receives a part of a body: a caller
    # sends its body in pieces with pauses, and the request is forwarded
    # before it is complete.
    When a caller sends a body of 5000 bytes in 10 slow pieces
    Then the upstream received that body once and complete

  Scenario: A request whose caller disconnects within its body is not run
    When a caller disconnects after half of its body
    And a caller fetches a record
    Then the record is complete
    And the upstream ran that request alone
