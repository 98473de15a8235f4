Feature: Unreachable upstreams do not affect callers

  Rule: Retries of unsent requests do not use the retry budget

    Scenario: An engine has crashed and the retry budget is used up
      # Guards against refusing some of the prompts in the second after
      # engines crash, although two thirds of the engines have capacity. The
      # connection to a crashed engine is refused, and the retry budget of two
      # or three retries in ten seconds is used up. A send that reached no
      # upstream was counted as one that did, although it loads none: its
      # retry is the first send that arrives.
      Given a store with a configuration
      And engines "eng-1" and "eng-2"
      And a retry budget that allows no retries
      And a direct router
      When a caller asks a model
      And the engine that ran it stops listening
      And a caller asks a model
      Then the answer is 200 with all events once and in order

    Scenario: An unsent prompt is refused if its retry would be late
      # Guards against late answers after engines crash: prompts that used to
      # be refused are answered late and delay others that would have been in
      # time. The engine of a prompt is unreachable, the queues of the others
      # exceed its latency target, and it was sent there all the same. It was
      # handled as a request that an engine has started to serve, which is
      # completed even if late.
      Given a store with a configuration
      And engines "eng-1" and "eng-2"
      And a retry budget that allows no retries
      And a direct router
      And all upstreams hold their answers
      When an engine prefills a prompt for 1.1 of the 1.2 seconds that are left
      And the other engine stops listening
      And a caller asks a model with a long prompt
      Then that prompt is refused at once with a retry time

    Scenario: All engines are unreachable
      # Guards against a Retry-After of "inf" seconds after all engines of a
      # service have crashed, after which callers do not retry. The engines
      # refuse connections and are excluded for a while. The time was that of
      # the earliest available engine, and there was none.
      Given a store with a configuration
      And engines "eng-1" and "eng-2"
      And a direct router
      When all upstreams stop listening
      And a caller asks a model
      And a caller asks a model
      Then the retry time is at most 4 seconds

    Scenario: A retry after a refusal by an engine uses the retry budget
      Given a store with a configuration
      And engines "eng-1" and "eng-2"
      And a retry budget that allows no retries
      And a direct router
      And the next upstream shed
      When a caller asks a model
      Then the answer is 503 with a time to come back

  Rule: An upstream that refuses a connection is excluded at once

    Scenario Outline: A connection fails
      # Guards against each router sending several requests to each crashed
      # engine. Its connections are refused, but its entry is removed only
      # seconds later. An upstream was excluded only after three consecutive
      # failures, as one that may be healthy. A refused connection shows that
      # no process is listening; a timeout may be due to a lost packet.
      When a connection to an upstream <fails>
      Then the upstream is <used> 0.1 s later
      And the upstream is used 0.6 s later

      Examples:
        | fails      | used     |
        | is refused | not used |
        | times out  | used     |
