Feature: A run is at work at one upstream at a time

  A run that goes on at another upstream is ended at the one before, whether
  or not the next one has sent an event yet.

  Rule: A run that goes on from its copy is ended at the upstream before

    Background:
      Given a router with 3 engines
      And engines that copy the KV cache of runs

    Scenario: The next engine takes long until its first event
      # Guards against a run at two upstreams: the one before was ended at the
      # first event of the next one only.
      Given the next engines answer with "stalls"
      And engines that go on with a run send their first event after 0.8 s
      When a caller requests a non-resumable stream
      Then the answer is 200 with all events once and in order
      And no run was at work at an earlier upstream 0.4 s after it went on

    Scenario: The engine before sends an event while the next one begins
      # Guards against a run that is kept although it goes on elsewhere.
      Given engines that send an event every 0.2 s
      And engines that pause for 1.3 s
      And the next engines answer with "pauses"
      And engines that go on with a run send their first event after 0.5 s
      When a caller requests a non-resumable stream
      Then the answer is 200 with all events once and in order
      And no run was at work at an earlier upstream 0.4 s after it went on

  Rule: A send that was given up before it was made does not count

    Scenario: The next engine is not reached in time, again and again
      # Guards against a stream that is lost although its copy is intact.
      Given a router with 3 engines
      And engines that copy the KV cache of runs
      And streams that are moved after 0.3 s without an event
      And engines that send an event every 0.5 s
      And connections to engines take 0.4 s from now on
      When a non-resumable stream breaks off after 3 askings that sent nothing
      Then the answer is 200 with all events once and in order
      And one engine ran the request and the other continued it

  Rule: A run that goes on from its copy gets a new connection

    Scenario: The upstream with the copy has an idle connection
      # Guards against a run that is ended at the upstream before, as a refusal
      # without an id does not count on a connection that was used.
      Given a router with 3 engines
      And engines that copy the KV cache of runs
      And streams that are moved after 0.3 s without an event
      And each engine has served a stream
      And the copies are lost
      And engines that pause for 0.6 s
      And the next engines answer with "pauses"
      When a caller requests a non-resumable stream
      Then the answer is 200 with all events once and in order
      And the run that was to go on had a connection of its own

  Rule: A stream that is resumed is ended at the upstream before

    Scenario Outline: The next engine takes long until its first event
      # Guards against double work for as long as an engine reads a prompt.
      Given a router with 3 engines
      And the next engines answer with "<before>"
      And engines that go on with a run send their first event after 0.8 s
      When a caller asks a model
      Then the answer is 200 with all events once and in order
      And no run was at work at an earlier upstream 0.4 s after it went on

      Examples:
        | before |
        | stalls |
        | pauses |
