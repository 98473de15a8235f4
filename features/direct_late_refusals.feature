Feature: A refusal that an upstream sends twice decides one send only

  A faulty upstream sends a response once more, late: on the same connection,
  where the next response is expected.

  Background:
    Given a store with a configuration

  Scenario: A request that is sent again is not refused by the earlier answer
    # Guards against a stream that runs twice: an engine refuses it for newer
    # weights, gets it again on the same connection, and sends the refusal once
    # more before it runs it. The second refusal counted as the answer to the
    # second send, and a third one ran the stream at another engine.
    Given engines "eng-1" and "eng-2"
    And a direct router
    And all engines have newer weights than the router knows
    And upstreams send each refusal twice, the second time late
    When a caller asks a model for a stream that may run once
    Then upstreams ran each of the 1 requests once
    And no connection carried a request twice

  Scenario: A refusal without an id does not refuse the next request
    # Guards against a request that runs twice: an upstream refuses another one
    # without naming it, and sends that refusal once more where the answer to
    # the next request on the connection is expected.
    Given plain upstreams "reg-1" and "reg-2"
    And a direct router
    And upstreams refuse every third request
    And upstreams send each refusal twice, without an id
    When a caller orders 12 certificates, one after the other
    Then upstreams ran each of the 12 requests once

  Scenario: A late refusal that lacks the id does not refuse the next request
    # Guards against a request that runs twice: an upstream names the requests
    # that it refuses, but not in the second copy of a refusal, which comes
    # where the answer to the next request is expected.
    Given plain upstreams "reg-1" and "reg-2"
    And a direct router
    And upstreams refuse every third request
    And upstreams send each refusal twice, the second time without an id
    When a caller orders 12 certificates, one after the other
    Then upstreams ran each of the 12 requests once

  Scenario: A request is not refused by an answer that comes very late
    # Guards against a stream that runs twice: the connection no longer knew
    # that it had carried a request, as 64 others had been sent on it since.
    Given plain upstreams "reg-1" and "reg-2"
    When a refused request is sent again after 80 others
    Then it ran once, and nothing followed the refusal on its connection

  Scenario: A run that goes on from its copy is not refused by an earlier answer
    # Guards against a run that is given up: the engine with its copy refused
    # the request before, and sends that refusal once more where the answer to
    # the continuation is expected.
    Given plain upstreams "reg-1" and "reg-2"
    When a refused request goes on there from its copy
    Then it ran once, and nothing followed the refusal on its connection

  Scenario: Upstreams that never name refused requests still refuse them
    # Guards against requests that wait for an answer until their time limit,
    # because a refusal without an id counts as that of another request.
    Given plain upstreams "reg-1" and "reg-2"
    And a direct router
    And upstreams refuse every third request
    When a caller orders 12 certificates, one after the other
    Then upstreams ran each of the 12 requests once
    And all answers came at once

  Scenario: A stream that is refused without an id is soon sent elsewhere
    # Guards against a stream that waits for an answer that never comes: its
    # refusal does not say whose it is, on a connection that carried others.
    Given engines "eng-1" and "eng-2"
    And a direct router
    When an engine refuses a stream without an id on a used connection
    Then upstreams ran each request once
    And all answers came at once

  Scenario Outline: A refusal without an id proves nothing about <stream>
    # Guards against a second run of what may run once, and against a success
    # that is believed after a refusal that may be the stream's own.
    Given engines "eng-1" and "eng-2"
    And routes with <attempts> attempts
    And a direct router
    When a refusal without an id precedes <stream> on a used connection
    Then that stream <ends>
    And upstreams ran each of the others once

    Examples: streams
      | stream                          | attempts | ends                |
      | a stream                        | 2        | is served elsewhere |
      | a slow stream that may run once | 2        | gets 502, one run   |
      | a slow stream                   | 1        | gets 502, one run   |
