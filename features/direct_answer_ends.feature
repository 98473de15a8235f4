Feature: Only an answer that arrived whole passes for a complete one

  An answer may have neither a length nor chunks and end with its connection.
  A stream that ends inside an event has been broken off.

  Background:
    Given a store with a configuration
    And plain upstreams "reg-1" and "reg-2"
    And engines "eng-1" and "eng-2"
    And a direct router

  Scenario: A stream without framing that ends inside an event is not complete
    # Guards against a broken-off stream that its caller takes for complete.
    Given the next upstream cut without framing
    When a caller requests a non-resumable stream
    Then the caller's answer is aborted
    And exactly one upstream received the request
