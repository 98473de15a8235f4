Feature: A direct router sends nothing to an upstream whose entry was removed

  Some upstreams never say that they leave: their entry is removed, and they
  serve for a short time more.

  Rule: No run goes on from a copy there

    Background:
      Given a store with a configuration
      And engines "eng-1" and "eng-2"
      And a direct router
      And engines that copy the KV cache of runs

    Scenario: The engine of a run ends after that of its copy was removed
      # Guards against handing a run to an upstream that may end at any moment.
      When a slow run has begun and the entry of its copy's engine is removed
      And the engine of the run ends
      Then the caller's answer is aborted
      And no request reached the engine of the copy

    Scenario: The engine of a run is silent after that of its copy was removed
      # Guards against breaking off a live run for a copy that has gone.
      Given runs that may take 9 s
      When a slow run has begun and the entry of its copy's engine is removed
      And the engine of the run is silent for 2 s and goes on
      Then the run ends with all events once and in order
      And no request reached the engine of the copy

    Scenario: An entry that lapsed for a moment
      # Guards against losing the copies at upstreams whose entry came back.
      When a slow run has begun and the entry of its copy's engine is removed
      And that entry is written again
      And the engine of the run ends
      Then the run ends with all events once and in order
      And it went on from its copy

  Rule: What was chosen before is checked again

    Scenario Outline: An upstream is gone by the time of the send
      # Guards against requests that are sent late to an upstream that left
      # while the request waited for a connection.
      Given a router that knows an engine with weights of version 3
      When it <leaves> while a connection to it is opened
      Then nothing is sent on the connection, and the request has not run

      Examples:
        | leaves                |
        | loses its entry       |
        | says that it leaves   |
        | restarts              |

    Scenario: An upstream's entry is removed before it is ordered to load
      # Guards against orders to an upstream that has left.
      Given a router that knows an engine with weights of version 3
      When version 4 is released and its entry is removed before its report
      Then no order is sent

    Scenario: A run there gets its first event after the removal
      # Guards against samples that are kept of engines that have left.
      Given a router that knows an engine with weights of version 3
      When its entry is removed before the first event of a run there
      Then no sample of its speed is kept

  Rule: Its end is no crash

    Scenario: It ends with open requests
      # Guards against blocking harmless requests: an upstream that left
      # without a word ends, and its last requests count as what crashed it.
      Given a store with a configuration
      And plain upstreams "reg-1" and "reg-2"
      And a direct router
      And all upstreams hold their answers
      When an upstream ends with a request after its entry was removed
      Then no upstream counts as crashed
