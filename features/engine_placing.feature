Feature: Prompts of contended services are placed by the speed of each engine

  Only services whose engines share their machines are affected; all others
  keep one speed for all engines and the recent lateness of each.

  Scenario: A slow engine gets a prompt only where others would be later
    # Guards against prompts that queue at a slow engine.
    Given a contended service with engines of which one was 4 times slower
    Then a prompt is placed on the other engine
    And the slow engine is expected to take 2 to 5 times as long
    And its run is expected to take longer, for copies and loads of weights

  Scenario: Only the model delays a contended service
    # Guards against a delay that is counted by the model and as lateness.
    Given a contended service with engines of which one was 4 times slower
    When first events at the other engine were 300 ms late
    Then a prompt is placed on the other engine

  Scenario: Services that are not contended keep the service's figures
    # Guards against changes to deployments that the model is not meant for.
    Given an uncontended service with engines of which one was 4 times slower
    Then both engines are expected to take the configured time

  Scenario: A restarted engine starts with the service's figures
    # Guards against shutting out an engine that runs on another machine now.
    Given a contended service with engines of which one was 4 times slower
    When the slow engine restarts
    Then the slow engine is expected to take as long as the service

  Scenario: Fast engines are first for more subjects
    # Guards against long queues of subjects at slow engines.
    Given 20 engines, half of them with twice the share of the others
    When 4,000 subjects are placed by shares
    Then the engines with the larger share are first for 0.62 to 0.72 of them
    And a change of one share moves only subjects of that engine
    And equal shares give the order without shares

  Scenario: Shares don't follow small changes of the speed
    # Guards against subjects that move between engines with each estimate.
    Given an engine whose times vary between 1.05 and 1.2 of the usual
    Then its share of subjects changes at most once

  Scenario: A slow engine may be silent for longer
    # Guards against requests moved from a live engine that is slow.
    Given silences of 100 ms at usual engines
    Then an engine that is twice as slow may be silent for 200 ms
    And an engine that is twice as fast may be silent for 100 ms

  Scenario: A router learns from the answers that it relays
    # Guards against a model that gets no samples.
    Given a store with a configuration
    And engines "eng-1" and "eng-2"
    And a direct router
    And all services are contended
    When a caller asks a model
    Then the router has samples of an engine for its peers

  Scenario: An engine that becomes slow is logged and exposed once
    Given a reporter of the speed of engines
    When an engine is reported 3 times slower 5 times, then as usual
    Then the log tells that it is slow and that it is no longer slow
    And its factor is exposed until no first event came for 60 s
