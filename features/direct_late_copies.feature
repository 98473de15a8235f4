Feature: Copies of answers decide nothing beside repeats, moves and stops

  A faulty upstream sends an answer once more, late: on the same connection,
  where a later answer is expected.

  Background:
    Given a store with a configuration

  Scenario: A request that comes again at another router runs once
    # Guards against a request that runs twice: all upstreams refuse it, its
    # caller sends it again with the same id, at another router and then at
    # the first one, and a copy of a refusal counts as the answer to that.
    Given plain upstreams "reg-1" and "reg-2"
    And a direct router
    And another direct router
    And upstreams send each refusal twice, the second time late
    When all upstreams refuse an order that comes at both routers
    And it comes at both routers again, until it is served
    Then the order ran once, when its caller got 200

  Scenario Outline: A refusal that is passed on is true whatever its copies say
    # Guards against a "not run" that is not true, or a request that runs
    # twice: all upstreams refuse a request, so that its caller is refused, and
    # copies of the refusals would come where the next answers on the same
    # connections are expected.
    Given plain upstreams "reg-1" and "reg-2"
    And a direct router
    And upstreams refuse with <status>, <named>, and copies <differ>
    When all upstreams refuse 2 orders and then serve 4
    Then the first 2 got 503 and did not run
    And each of the other 4 ran once and got its own answer

    Examples: refusals
      | status | named         | differ                   |
      | 503    | with an id    | are the same             |
      | 503    | with an id    | lack the id              |
      | 503    | with an id    | do not say "not run"     |
      | 503    | with an id    | lack both                |
      | 429    | with an id    | are the same             |
      | 429    | with an id    | lack both                |
      | 503    | without an id | are the same             |
      | 429    | without an id | do not say "not run"     |

  Scenario: A continuation that is answered twice decides no later stream
    # Guards against a stream that gets the events of another one: the engine
    # with the copy of a run answers the continuation twice on one connection.
    Given engines "eng-1" and "eng-2"
    And a direct router
    And engines that copy the KV cache of runs
    And upstreams send each answer twice, the second time late
    When a caller asks a model 4 times, one after the other
    And the next stream is cut and goes on from its copy
    And a caller asks a model 4 times, one after the other
    Then each stream has all events once and in order
    And upstreams ran each of the 9 requests once
    And a copy of the continuation was sent

  Scenario: A router that stood still gives each caller its own answer
    # Guards against answers that go to other requests, and against requests
    # that run twice: answers and copies of earlier ones wait in the sockets
    # of a router that is stopped, and it is killed later.
    Given plain upstreams "reg-1" and "reg-2"
    And a router process
    And the upstreams name requests in their answers
    And upstreams send each answer twice, the second time late
    When the router is stopped while callers with kept connections order
    And it is killed while they order once more
    Then each order got its own answer until the router was killed
    And no order ran twice
