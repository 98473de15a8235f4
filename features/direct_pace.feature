Feature: Silence limits adapt to the speed of the engines

  Background:
    Given a store with a configuration
    And engines "eng-1" and "eng-2"
    And a direct router

  Rule: A live engine does not count as lost

    Scenario: Streams of engines with slow prefill are not aborted
      # Guards against streams that move from engine to engine under load, or
      # are aborted, though every engine is live: an engine prefills long
      # prompts between the events of its streams and sends all of them an
      # event every 0.4 s, while the other engine sends data. The limit was
      # measured at one prefill speed.
      Given routes that allow event gaps of 500 ms and streams that may run twice
      And engines that send an event every 0.4 seconds
      When 8 callers ask models at once
      Then every caller gets all events once and in order
      And no request ran at two engines

    Scenario: A stream in its last run is not aborted on suspicion
      # Guards against an answer that is interrupted though both engines are
      # live: a stream may run once, and its engine sends no event for longer
      # than any limit, then resumes.
      Given routes that allow event gaps of 250 ms and streams that may run once
      And engines that send an event every 1.7 seconds
      When 6 callers ask models at once
      Then every caller gets all events once and in order

    Scenario: A stream that was continued once is not aborted again
      # Guards against the same failure on a route with two runs: an engine
      # interrupts a stream, and the one that continues it sends no event for
      # longer than any limit.
      Given routes that allow event gaps of 250 ms and streams that may run twice
      And engines that send an event every 1.7 seconds
      And the next upstream cut
      When 1 callers ask models at once
      Then every caller gets all events once and in order
      And the stream was continued once

  Rule: A lost engine is detected at any speed

    Scenario Outline: Streams of an engine without power continue in time
      # Guards against callers that abandon streams without events: an engine
      # loses power after the first events, and its connections stay open. A
      # limit that adapts to the engines needs an upper bound.
      Given routes that allow event gaps of <pause> ms and streams that may run twice
      And engines that send an event every <beat> seconds
      And an engine that stalls
      When 8 callers ask models at once
      Then every caller gets all events once and in order
      And each of them within <most> seconds

      Examples:
        | pause | beat | most |
        | 250   | 0.05 | 2.5  |
        | 500   | 0.4  | 3.5  |
