@slow
Feature: Requests without end are cut off at their bounds

  A caller sends a request that does not end, as fast as it can or slowly. One
  router process and four engines; the bounds compare with the same load
  before.

  Background:
    Given a store with a configuration
    And 4 engines and a router process

  Scenario: Many callers send bodies without end
    # Guards against a router whose memory the callers take: each body is held
    # up to a bound that is far above the limit of the configuration.
    Given a calm load for 0.8 s
    When 8 callers send bodies without end under that load for 1.5 s
    Then memory peaks at most 16 MiB above
    And all requests are served, at most 0.5 s later than before
    And each of these callers was refused for the size of its body
    And no engine was sent their requests

  Scenario: A body that comes slowly does not outlast its request
    # Guards against requests that stay open for as long as their callers
    # send, long after their time limits.
    When 4 callers with a time limit of 1 s send bodies slowly for 1.8 s
    Then each of their connections was closed after at most 1.5 s
