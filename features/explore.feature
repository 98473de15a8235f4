Feature: All orders of faults up to a depth keep the promises
  The real code runs in virtual time; each call to the platform and each
  frame is delivered, refused, lost, delayed or repeated in every order.

  Scenario: Claims of two agents over one platform
    When the claims are explored 3 steps deep
    Then no invariant breaks
    And the steps "arrive, ask, crash, delay, deliver, execute, keep, lose, refuse, wait, withdraw" were taken
    And the ends "outcome_unknown, permit, replay" were reached

  Scenario: The agent's table of attempts
    When the attempts are explored 6 steps deep
    Then no invariant breaks
    And the steps "deliver, execute, fail, finish, forget, leave, refuse, restart, send" were taken
    And the ends "may-have-run, not-run, ran" were reached

  Scenario: Two explorations see the same
    When the claims are explored 2 steps deep
    And the claims are explored 2 steps deep
    Then both saw the same

  Scenario: A claim that does not bind is found out
    Given a rule by which every key is free
    When the claims are explored 2 steps deep
    Then "a call runs at most once" breaks

  Scenario: A permit given in spite of a failed write is found out
    Given writes whose failure is ignored
    When the claims are explored 3 steps deep
    Then "a call runs at most once" breaks

  Scenario: An id that an answer leaves open is found out
    Given asks that close no id
    When the attempts are explored 5 steps deep
    Then '"not run" is true of the attempt, for ever' breaks
