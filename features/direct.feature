Feature: A direct router serves callers on the users' platform

  Routers, the adapter and the connections are the real ones; the platform's
  store and its upstreams are fakes on loopback.

  Background:
    Given a store with a configuration
    And plain upstreams "reg-1" and "reg-2"
    And engines "eng-1" and "eng-2"
    And a direct router

  Rule: Each request reaches its service once and its answer is complete

    Scenario: A plain request is answered by its service
      When a caller fetches a record
      Then the answer is 200 with the whole body and its proof
      And the upstream received its id, the team and the remaining time
      And the upstream did not receive the key

    Scenario: A stream is complete and in order
      When a caller asks a model
      Then the answer is 200 with all events once and in order

    Scenario Outline: A request that the configuration forbids is refused
      When a caller sends a request with <what>
      Then the answer is <status>
      And no upstream received anything

      Examples:
        | what                 | status |
        | a path without route | 404    |
        | an unknown key       | 401    |
        | too large a body     | 413    |

    Scenario: Headers reserved for the system are not taken from callers
      # Guards against a prompt that continues from the KV cache of another
      # team: a caller sends headers that name cached parts, a hold, another
      # team or another upstream, and the router forwards them unchecked.
      When a caller sends headers reserved for the system
      Then the upstream received none of the caller's values

  Rule: A verdict decides whether a request is retried

    Scenario Outline: A retryable request survives one faulty upstream
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

    Scenario Outline: A request that must not run twice is never retried
      # Guards against a certificate that is issued twice: an upstream runs
      # the request, its answer is lost, cut off or invalid, and the router
      # takes that for a request that did not run and sends it to another
      # upstream.
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

    Scenario: A refusal by the upstream does not count as a run
      Given the next upstream shed
      When a caller orders a certificate
      Then the answer is 200 with the whole body and its proof
      And exactly one upstream ran the request

    Scenario: An error response of an upstream is forwarded unchanged
      Given the next upstream fails
      When a caller orders a certificate
      Then the answer is 500 with the upstream's signature

    Scenario: A refusal by all upstreams says when to retry
      Given all upstreams shed
      When a caller orders a certificate
      Then the answer is 503 with a time to come back
      And no upstream ran anything

    Scenario: An answer to another request is not the caller's
      # Guards against a caller that gets another caller's answer, or one that
      # comes after an answer that may be its own: an upstream answers with the
      # id of a request that its connection has not carried.
      Given the next upstream extra
      When a caller orders a certificate
      Then the answer is 502
      And exactly one upstream ran the request

    Scenario: An answer without a length is complete at a clean close
      Given the next upstream unframed
      When a caller fetches a record
      Then the answer is 200 with the whole body and its proof

  Rule: An interrupted stream is continued where that is safe

    Scenario: A stream interrupted in the middle of an event is continued
      # Guards against a partial event or a duplicate one: an engine crashes
      # in the middle of an event and another one continues after the last
      # event. The partial event must not be forwarded, nor the whole stream
      # sent again.
      Given the next upstream cut
      When a caller asks a model
      Then the answer is 200 with all events once and in order
      And the second engine received the id of the last event

    Scenario: A stream whose continuation fails is aborted for its caller
      # Guards against three of four events that pass for the whole stream:
      # the connection to an engine breaks, and the engine that is to
      # continue answers with a complete, signed error response, which is
      # taken for the regular end of the stream.
      Given the next upstream cut
      And the next upstream fails
      When a caller asks a model
      Then the caller's answer is aborted

    Scenario: A stream that can't be continued is aborted for its caller
      # Guards against an incomplete answer that passes for a complete one:
      # the connection to an engine breaks, and the router forwards that as
      # the regular end of the chunked answer.
      Given the next upstream cut
      When a caller requests a non-resumable stream
      Then the caller's answer is aborted
      And exactly one upstream received the request

    Scenario: A run that must not start again continues from its copy
      # Guards against the loss of dozens of answers with each crash of an
      # engine: its streams that must not run twice are all aborted if the KV
      # cache of these runs is on no other engine, as continuing them there
      # would start them again.
      Given engines that copy the KV cache of runs
      And the next upstream cut
      When a caller requests a non-resumable stream
      Then the answer is 200 with all events once and in order
      And one engine ran the request and the other continued it

    Scenario: Streams that can't be continued are not moved on suspicion
      # Guards against answers that are aborted although their engine is
      # alive: an engine sends no event for 0.25 s and then continues, but
      # all its streams are interrupted, even those that must not start again
      # and have no copy.
      When callers request non-resumable streams with pauses of 0.6 seconds
      Then each of them gets all events once and in order

    Scenario: A run whose engine fell silent continues from its copy
      # Guards against callers that abandon streams without events: an engine
      # loses power after the first event and its connections stay open, and
      # the router waits until the deadline for a stream that must not start
      # again.
      Given engines that copy the KV cache of runs
      And the next upstream stalls
      When a caller requests a non-resumable stream
      Then the answer is 200 with all events once and in order
      And one engine ran the request and the other continued it

    Scenario: Without its copy a run that must not start again is aborted
      # Guards against a second run of a request that must not run twice: an
      # engine crashes, the one that should have the copy refuses, and the
      # request is sent to a third, as the refusal to continue is taken for
      # the refusal of a new request.
      Given engines that copy the KV cache of runs
      And a third engine
      And the copies are lost
      And the next upstream cut
      When a caller requests a non-resumable stream
      Then the caller's answer is aborted
      And one engine ran the request and no other continued it

    Scenario: A caller that disconnects cancels its request
      # Guards against engines that work for callers that have disconnected:
      # a caller closes its connection before the first event, and the close
      # is noticed only at the next write.
      Given all upstreams hold their answers
      When a caller asks a model and disconnects
      Then the engine sees the closed connection

  Rule: Prompts share KV cache only where that is allowed

    Scenario: An isolated team has its own cache salt
      When a caller of each team asks a model
      Then the engines received two different cache salts

    Scenario: New weights have their own cache salt
      # Guards against an answer from KV cache of superseded weights: the
      # weights change and a request hits parts cached before, as the cache
      # salt does not include the version of the weights.
      When a caller asks a model before and after new weights
      Then the engines received two different cache salts
      And every prompt carried the version that its engine had
