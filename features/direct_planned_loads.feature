Feature: Routers count on the plan by which engines load new weights

  Rule: The plan is believed where engines load by it

    Background:
      Given a router with 6 engines that have version 1

    Scenario: An engine whose load is over by plan is asked for the new version
      # Symptom: after each naming of weights prompts are refused or repeated
      #   for three seconds, though engines load in the planned order.
      # Sequence: engines load one after the other; each tells it in its entry
      #   up to two seconds later; until then each of many routers asks it for
      #   the old version and is refused.
      # Cause: a router learnt of each load by itself, though all of them know
      #   when each engine loads.
      When version 2 is named and its first engine tells that it has it
      Then each other engine is asked for version 2 once its load is over
      And before for version 1

    Scenario: Nobody has loaded the new version yet
      When version 2 is named and no engine tells that it has it
      Then each engine is asked for version 1 until 4 s after the naming

    Scenario: An engine that has not loaded by plan is believed
      # Symptom: prompts are refused by one engine after the other.
      # Sequence: orders stay unanswered; engines keep the old version.
      # Cause: the plan was believed against what engines say.
      When version 2 is named and its first engine tells that it has it
      And another refuses it after its load should be over
      Then each engine that has not told it is asked for version 1

    Scenario: The plan counts for no longer than entries may be late
      When version 2 is named and its first engine tells that it has it
      Then each other engine is asked for version 1 from 3 s after its load on

    Scenario: A version that was named before the start of the router
      When version 2 was named before the start and one engine has it
      Then each engine that has not told it is asked for version 1

  Rule: A refusal counts for more than the plan

    Scenario: An engine whose order stayed unanswered
      Given a store with a configuration
      And engines "eng-1" and "eng-2"
      And engines that leave orders unanswered
      And a direct router
      When new weights are named and just engine "eng-1" loads them
      And callers ask only engine "eng-2" four times
      Then engine "eng-2" was asked for version 2 once, then 1
