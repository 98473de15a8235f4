Feature: Request logs show how well first events were expected

  Scenario: Sends are compared by engine and by what was expected
    # Guards against a target that is reported as met because sends are lost.
    Given a log with 30 sends to each of two engines, one 150 ms late
    When the log is calibrated
    Then only the late engine misses its target
    And 0.25 of the sends are late though expected early
    And each group of expected times has as many sends

  Scenario: Lines that tell nothing of first events are skipped
    # Guards against errors that continuations and refusals would add.
    Given a log with text, a refused send, a continued run and a plain service
    When the log is calibrated
    Then it has no sends
