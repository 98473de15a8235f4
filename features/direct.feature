Feature: A direct router serves callers on the users' platform

  Routers, the adapter and the connections are the real ones; the platform's
  store and its upstreams are stand-ins on loopback.

  Background:
    Given a store with a configuration
    And plain upstreams "reg-1" and "reg-2"
    And engines "eng-1" and "eng-2"
    And a direct router

  Rule: Each request reaches its service once and its answer comes whole

    Scenario: A plain request is answered by its service
      When a caller fetches a record
      Then the answer is 200 with the whole body and its proof
      And the upstream was told its id, its team and the time left
      And the upstream was not told the key

    Scenario: A stream comes whole and in order
      When a caller asks a model
      Then the answer is 200 with all events once and in order

    Scenario Outline: What the configuration does not allow is refused
      When a caller sends a request with <what>
      Then the answer is <status>
      And no upstream received anything

      Examples:
        | what                 | status |
        | a path without route | 404    |
        | an unknown key       | 401    |
        | too large a body     | 413    |

    Scenario: Headers that are the system's to set never come from a caller
      # Symptom: a caller's prompt goes on from another team's memory.
      # Sequence: a caller sends headers that name cached memory, a hold,
      #   another team or another upstream; the router passes them on.
      # Cause: headers were forwarded without looking whose they are.
      When a caller sends headers that are the system's to set
      Then the upstream received none of the caller's values

  Rule: A verdict decides whether a request is sent again

    Scenario Outline: A request that may repeat survives one bad upstream
      Given the next upstream <behaves>
      When a caller fetches a record
      Then the answer is 200 with the whole body and its proof

      Examples:
        | behaves  |
        | shed     |
        | reset    |
        | cut      |
        | mute     |
        | angry    |
        | unproven |

    Scenario Outline: A request that must not repeat is never sent again
      # Symptom: a certificate is issued twice.
      # Sequence: an upstream runs the request and its answer is lost, cut or
      #   spoilt; the router sends the request to another upstream.
      # Cause: a lost answer was taken for a request that did not run.
      Given the next upstream <behaves>
      When a caller orders a certificate
      Then the answer is 502
      And exactly one upstream received the request

      Examples:
        | behaves  |
        | reset    |
        | cut      |
        | angry    |
        | unproven |

    Scenario: A refusal by the upstream is no run
      Given the next upstream shed
      When a caller orders a certificate
      Then the answer is 200 with the whole body and its proof
      And exactly one upstream ran the request

    Scenario: An upstream's own failure reaches the caller unchanged
      Given the next upstream fails
      When a caller orders a certificate
      Then the answer is 500 with the upstream's proof

    Scenario: A refusal of all upstreams says when to come back
      Given all upstreams shed
      When a caller orders a certificate
      Then the answer is 503 with a time to come back
      And no upstream ran anything

    Scenario: An answer to another request is read past
      # Symptom: a caller gets another caller's answer.
      # Sequence: an upstream sends a late answer to an earlier request where
      #   the next answer is due.
      # Cause: answers were matched to requests by their order alone.
      Given the next upstream extra
      When a caller orders a certificate
      Then the answer is 200 with the whole body and its proof

    Scenario: An answer without a length is whole at a clean end
      Given the next upstream unframed
      When a caller fetches a record
      Then the answer is 200 with the whole body and its proof

  Rule: A stream goes on where it may

    Scenario: A stream that broke off in the middle of an event goes on
      # Symptom: a caller sees half an event, or one of them twice.
      # Sequence: an engine crashes in the middle of an event; another one
      #   continues after the last event.
      # Cause: half an event was passed on, or the whole stream begun anew.
      Given the next upstream cut
      When a caller asks a model
      Then the answer is 200 with all events once and in order
      And the second engine was told the last event

    Scenario: A stream whose continuation fails is cut for its caller
      # Symptom: a caller takes three of four events for the whole stream.
      # Sequence: an engine breaks off; the one that is to continue answers
      #   with a failure of its own, complete and proven.
      # Cause: any complete answer ended the stream regularly.
      Given the next upstream cut
      And the next upstream fails
      When a caller asks a model
      Then the caller's answer is cut

    Scenario: A stream that may not go on is cut for its caller
      # Symptom: a caller takes a broken answer for a whole one.
      # Sequence: an engine breaks off; the router ends the chunked answer.
      # Cause: the end of the upstream's answer was passed on as its end.
      Given the next upstream cut
      When a caller talks to a model
      Then the caller's answer is cut
      And exactly one upstream received the request

    Scenario: A run that must not begin again goes on from its copy
      # Symptom: each crash of an engine loses dozens of answers.
      # Sequence: an engine crashes with streams that must not run twice;
      #   all of them are cut for their callers.
      # Cause: the memory of these runs was nowhere else, so to go on would
      #   have meant to begin again.
      Given engines that copy the memory of runs
      And the next upstream cut
      When a caller talks to a model
      Then the answer is 200 with all events once and in order
      And one engine ran the request and the other went on with it

    Scenario: Streams that can't go on are not broken off on a guess
      # Symptom: answers are cut in the middle though their engine lives.
      # Sequence: an engine gives no event for 0.25 s and goes on; its streams
      #   must not begin again and have no copy.
      # Cause: all streams of a silent engine were broken off, also those
      #   that had nowhere to go.
      When callers talk to models that pause for 0.6 seconds
      Then each of them gets all events once and in order

    Scenario: A run whose engine fell silent goes on from its copy
      # Symptom: callers leave streams that no event comes on.
      # Sequence: an engine loses its power after the first event; its
      #   connections stay open.
      # Cause: a stream that must not begin again was waited for to its
      #   deadline.
      Given engines that copy the memory of runs
      And the next upstream stalls
      When a caller talks to a model
      Then the answer is 200 with all events once and in order
      And one engine ran the request and the other went on with it

    Scenario: Without its copy a run that must not begin again is cut
      # Symptom: a request that must not run twice does.
      # Sequence: an engine crashes; the one that was to have the copy
      #   refuses; the request is sent to a third.
      # Cause: a refusal to go on was taken for one of a new request.
      Given engines that copy the memory of runs
      And a third engine
      And the copies are lost
      And the next upstream cut
      When a caller talks to a model
      Then the caller's answer is cut
      And one engine ran the request and no other went on with it

    Scenario: A caller that leaves stops the work
      # Symptom: engines work for callers that have left.
      # Sequence: a caller closes its connection before the first event.
      # Cause: the close was noticed only when something was written.
      Given all upstreams hold their answers
      When a caller asks a model and leaves
      Then the engine learns that its work is not wanted

  Rule: Prompts share memory only where they may

    Scenario: An isolated team has a wall of its own
      When a caller of each team asks a model
      Then the engines were told two different walls

    Scenario: New weights have a wall of their own
      # Symptom: an answer rests on memory made by older weights.
      # Sequence: weights change; a request finds parts cached before.
      # Cause: the name of the cache did not hold the weights' version.
      When a caller asks a model before and after new weights
      Then the engines were told two different walls
      And every prompt named the version that its engine had
