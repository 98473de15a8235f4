Feature: Routers keep their promises under random faults

  Three router processes, a store and upstreams behind proxies. Faults are
  drawn from a seed: links silenced, delayed, cut one way and reset, signals,
  pauses, a store that loses answers, upstreams that spoil theirs.

  Scenario: A stop signal that is repeated cuts nothing
    # Symptom: a caller's answer is cut during a restart.
    # Sequence: a router drains; the stop signal comes a second time.
    # Cause: the second signal was taken for an operator's who can't wait.
    Given a router process with a request under way
    When the process gets two stop signals and the answers go on
    Then the request is answered and the process ends by itself

  Scenario: Seeds that failed once
    When every seed that ever failed is run
    Then no promise is broken

  Scenario: Seeds that failed once while a request crashed upstreams
    When every seed with crashes that ever failed is run
    Then no promise is broken
