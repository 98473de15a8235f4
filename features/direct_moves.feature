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

    Scenario: All other engines refuse for longer than a stream waits
      # Guards against the same abort once the wait for capacity is over.
      Given a router with 3 engines
      And the next engines answer with "pauses" and then all refuse
      When a caller asks a model
      Then the answer is 200 with all events once and in order

    Scenario: An engine goes on while the next one waits in its queue
      # Guards against a stream that is lost, or at work twice, as its engine
      # goes on before the next one has begun.
      Given a router with 3 engines
      And engines that pause for 1.5 s
      And engines that send an event every 0.2 s
      And the next engines answer with "pauses, slow"
      When a caller asks a model
      Then the answer is 200 with all events once and in order
      And no run was at work at an earlier upstream 0.4 s after it went on

    Scenario: An engine that sends nothing more is left
      # Guards against streams that stay at a lost engine as others may refuse.
      Given a router with 3 engines
      And the next engines answer with "stalls, shed"
      When a caller asks a model
      Then the answer is 200 with all events once and in order
      And engines received 3 sends

    Scenario: Every other engine has refused once
      # Guards against a lost engine that is never left, as those that refused
      # are not asked again.
      Given a router with 3 engines
      And the next engines answer with "stalls, shed, shed"
      When a caller asks a model
      Then the answer is 200 with all events once and in order
      And engines received 4 sends

    Scenario Outline: Both upstreams send an event at the same moment
      # Guards against two runs that each end the other one.
      Given a handover whose successor <was> sent the stream
      When events arrive from the <first> and then from the <second> run
      Then only those of the <kept> run are forwarded
      And the <kept> run goes on

      Examples:
        | was     | first   | second  | kept    |
        | was not | earlier | next    | earlier |
        | was not | next    | earlier | next    |
        | was     | earlier | next    | next    |
        | was     | next    | earlier | next    |

    Scenario: An engine breaks a stream off while the next one is asked
      # Guards against a stream that is lost as both sends are under way.
      Given a router with 3 engines
      And the next engines answer with "pauses and cuts, slow"
      When a caller asks a model
      Then the answer is 200 with all events once and in order

  Rule: A stream that was broken off waits for the retry budget

    Scenario: The retry budget has room again before the caller leaves
      # Guards against a started answer that is aborted at once although its
      # caller waits for it for seconds.
      Given a retry budget of 1 retries in 0.8 seconds
      And a router with 3 engines
      And the next engines answer with "cut, shed"
      When a caller asks a model
      Then the answer is 200 with all events once and in order
      And engines received 3 sends

  Rule: A run that can go on only from its copy is not given up for a refusal

    Background:
      Given a router with 3 engines
      And engines that copy the KV cache of runs

    Scenario: The upstream that should have the copy refuses
      # Guards against a started answer that is aborted although its engine
      # lives: its run is broken off on suspicion, and there is no copy of it.
      Given the copies are lost
      And the next engines answer with "pauses"
      When a caller requests a non-resumable stream
      Then the answer is 200 with all events once and in order
      And one engine ran the request and no other continued it

    Scenario: An engine that sends nothing more is left for the copy
      # Guards against streams that stay at a lost engine although a copy of
      # their run could go on.
      Given the next engines answer with "stalls"
      When a caller requests a non-resumable stream
      Then the answer is 200 with all events once and in order
      And one engine ran the request and the other continued it

  Rule: The last run of a request is not given up on suspicion

    Scenario: Two plain upstreams are slow
      # Guards against an error for a request whose second upstream, the last
      # that it may be sent to, would have answered in time.
      Given a router with 2 plain upstreams
      And the next engines answer with "slow, slow"
      When a caller fetches a record
      Then the answer is 200 with the whole body and its proof

    Scenario: The last engine is slow with the first event
      # Guards against the same error for streams that have no event yet.
      Given a router with 3 engines
      And the next engines answer with "reset, slower"
      When a caller asks a model
      Then the answer is 200 with all events once and in order

    Scenario: The retry budget is used up before the first event
      # Guards against a run that is given up for one that can't be made.
      Given a retry budget of 0 retries
      And a router with 3 engines
      And the next engines answer with "slower"
      When a caller asks a model
      Then the answer is 200 with all events once and in order

    Scenario: A plain answer arrives in pieces
      # Guards against an answer that is given up while its body arrives, as
      # if its upstream were silent.
      Given a router with 2 plain upstreams
      And the next engines answer with "trickles"
      When a caller fetches a record
      Then the answer is 200 with the whole body and its proof
      And exactly one upstream received the request
