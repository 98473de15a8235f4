@alone
Feature: Callers that do not behave cannot take a router's memory

  A router process of a VM with 100 MB and 300 descriptors; requests and
  answers may have 4 MiB. Crowds hold what the router keeps for them for as
  long as it lets.

  Background:
    Given a store with a large body limit
    And plain upstreams "reg-1" and "reg-2"
    And engines "eng-1" and "eng-2" with many slots
    And a router process of a VM with 100 MB and 300 descriptors

  Scenario: Plain answers that are read slowly
    # Guards against answers that are each bounded, but not all together.
    Given upstreams whose answers have 4000000 bytes
    When 40 callers ask for "/records/1" and read slowly
    Then the router lives within its VM
    And an ordinary request is answered

  Scenario: Plain answers that are read slowly by callers that come again
    # Guards against callers that take the place of those that were closed.
    Given upstreams whose answers have 4000000 bytes
    When 40 callers ask for "/records/1", read slowly and come again
    Then the router lives within its VM
    And an ordinary request is answered

  Scenario: Plain answers that nobody reads
    # Guards against answers that are held for as long as their callers stay.
    Given upstreams whose answers have 4000000 bytes
    And a router that ends answers without progress after 1 s
    When 30 callers ask for "/records/1" and read nothing
    Then the router closes all of their connections
    And the router lives within its VM
    And an ordinary request is answered

  Scenario: Streams for callers without chunks
    # Guards against streams that are held until their end without a bound.
    Given streams of 400 events of 32000 bytes
    When 10 callers without chunks ask for streams and read slowly
    Then the router lives within its VM
    And an ordinary request is answered

  Scenario: Streams that are read slowly
    # Guards against what is buffered for each of many streams.
    Given streams of 400 events of 32000 bytes
    When 200 callers ask for streams and read slowly
    Then the router lives within its VM
    And an ordinary request is answered

  Scenario: Bodies whose last byte never comes
    # Guards against bodies that are each bounded, but not all together.
    When 40 callers withhold the last byte of 4190000
    Then the router lives within its VM
    And an ordinary request is answered

  Scenario: Bodies whose last byte never comes, from callers that come again
    # Guards against callers that take the place of those that were refused.
    When 40 callers withhold the last byte of 4190000 and come again
    Then the router lives within its VM
    And an ordinary request is answered

  Scenario: Bodies of callers that leave in the middle
    # Guards against memory that stays taken once callers have left.
    When 40 callers withhold the last byte of 4190000
    And they leave
    Then the router closes all of their connections
    And the router lives within its VM
    And an ordinary request is answered

  Scenario: A body in chunks of one byte
    # Guards against a body that takes the processor for as long as thousands
    # of requests.
    When 2 callers send 300000 chunks of one byte
    Then none of these bodies was taken
    And the router lives within its VM
    And an ordinary request is answered

  Scenario: Heads that are larger than the configuration allows
    # Guards against limits of the configuration that are not in force.
    When 100 callers send 60000 bytes of a head without its end
    Then the router closes all of their connections
    And the router lives within its VM
    And an ordinary request is answered

  Scenario: Heads whose end never comes
    # Guards against heads that stay open longer than the configuration allows.
    When 100 callers send 8000 bytes of a head without its end
    Then the router closes all of their connections
    And the router lives within its VM
    And an ordinary request is answered

  Scenario: Connections that send nothing
    # Guards against callers that take all descriptors.
    When 400 callers send nothing
    Then the router lives within its VM
    And an ordinary request is answered

  Scenario: Connections that got an answer
    # Guards against kept connections that take all descriptors.
    When 400 callers keep connections that got an answer
    Then the router lives within its VM
    And an ordinary request is answered

  Scenario: Connections to the readiness page that send nothing
    # Guards against another port through which all descriptors are taken.
    When 400 callers of the readiness page send nothing
    Then the router lives within its VM
    And an ordinary request is answered
    And the readiness page is answered

  Scenario: A stop while answers are read slowly
    # Guards against a process that hangs, or is killed, at its end.
    Given upstreams whose answers have 4000000 bytes
    When 10 callers ask for "/records/1" and read slowly
    And the router is stopped
    Then it ends by itself with code 0

  Scenario: One request as large as allowed
    # Guards against bounds that refuse a caller within its limits.
    Given upstreams whose answers have 4000000 bytes
    When a caller sends 4190000 bytes
    Then it is answered whole
