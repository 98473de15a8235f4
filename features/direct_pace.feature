Feature: Limits of time follow the pace of the engines

  Background:
    Given a store with a configuration
    And engines "eng-1" and "eng-2"
    And a direct router

  Rule: An engine that lives is not taken for lost

    Scenario: Streams of engines that read slowly are not broken off
      # Symptom: under load streams move from engine to engine, and some are
      #   cut, though every engine lives.
      # Sequence: an engine reads the long prompts that wait between the
      #   events of its streams, and gives all of them an event every 0.4 s;
      #   the router hears the other engine meanwhile.
      # Cause: the longest silence of an engine that lives was measured at one
      #   speed of reading.
      Given routes that allow event gaps of 500 ms and streams that may run twice
      And engines that send an event every 0.4 seconds
      When 8 callers ask models at once
      Then every caller gets all events once and in order
      And no request ran at two engines

    Scenario: A stream in its last run is not broken off on a guess
      # Symptom: a caller's answer is cut in the middle beside two engines
      #   that live.
      # Sequence: a stream may run once; its engine gives no event for longer
      #   than any limit, and goes on.
      # Cause: a guess ended what nothing else would have ended.
      Given routes that allow event gaps of 250 ms and streams that may run once
      And engines that send an event every 1.7 seconds
      When 6 callers ask models at once
      Then every caller gets all events once and in order

    Scenario: A stream that went on once is not broken off again
      # Symptom: as above, for a route with two runs.
      # Sequence: an engine breaks a stream off; the one that goes on with it
      #   gives no event for longer than any limit.
      # Cause: as above.
      Given routes that allow event gaps of 250 ms and streams that may run twice
      And engines that send an event every 1.7 seconds
      And the next upstream cut
      When 1 callers ask models at once
      Then every caller gets all events once and in order
      And the stream was continued once

  Rule: An engine that is lost is noticed at each pace

    Scenario Outline: Streams of an engine without power go on in time
      # Symptom: callers leave streams that no event comes on.
      # Sequence: an engine loses its power after the first events; its
      #   connections stay open.
      # Cause: a limit that follows the pace of the engines has no bound.
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
