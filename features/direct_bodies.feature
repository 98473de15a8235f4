Feature: Bodies that are slow or answered early mix nothing up

  Background:
    Given a store with a configuration
    And an upstream that answers before it has read a body
    And a direct router

  Scenario: An early answer leaves no bytes for the next request
    # Symptom: an upstream runs a request that nobody sent.
    # Sequence: it refuses a long request before its body is in and keeps the
    #   connection; the rest of the body is given up, and the next request is
    #   sent where that rest is due.
    # Cause: a connection was used again with a part of a body not sent.
    When a caller sends a body of 8000000 bytes
    And a caller fetches a record once the upstream is used again
    Then the record comes whole
    And every connection of the upstream held whole requests only

  Scenario: A body that comes slowly is passed on whole
    # Symptom: an upstream gets a part of a body.
    # Sequence: a caller sends its body in pieces with pauses.
    # Cause: a request was passed on before it was whole.
    When a caller sends a body of 5000 bytes in 10 slow pieces
    Then the upstream got that body once and whole

  Scenario: A caller that leaves in the middle of its body runs nothing
    When a caller leaves after half of its body
    And a caller fetches a record
    Then the record comes whole
    And the upstream ran that record alone
