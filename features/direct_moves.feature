Feature: A stream leaves its upstream only for one that serves it

  Rule: A run is not given up on suspicion before another upstream serves it

    Scenario: The only other send that the retry budget allows is refused
      # Guards against a started answer that is aborted although its engine
      # lives: the run is broken off on suspicion, one engine refuses the rest,
      # and that refusal has used up the retry budget.
      Given a retry budget of 1 retries
      And a router with 3 engines
      And the next engines answer with "pauses" and then all refuse
      When a caller asks a model
      Then the answer is 200 with all events once and in order
      And engines received 2 sends
