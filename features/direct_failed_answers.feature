Feature: A failure that an upstream answers is the caller's answer

  A worker that answers a failure has run the request. Its caller gets that
  failure, or, where the request may be repeated and the failure is not whole
  or not signed, the answer of another run. A second copy of any answer that
  comes before or after it changes nothing.

  Background:
    Given a store with a configuration
    And 4 upstreams that fail as scripted, and as many engines
    And a direct router

  Scenario Outline: A failure decides what its caller gets
    # Guards against a success in place of a failure, a request that runs
    # twice, and a failure that changes on its way, whatever other answers
    # come beside it.
    When callers send each kind of request, which meets a failure <shape>
    Then each caller gets <result>
    And answers to other requests were skipped

    Examples: failures
      | shape                  | result                             |
      | of status 500          | that failure, from one run         |
      | of status 404          | that failure, from one run         |
      | of status 503          | that failure, from one run         |
      | in chunks              | that failure, from one run         |
      | without framing        | that failure, from one run         |
      | without a signature    | what a failure not proven allows   |
      | cut inside its head    | what a failure not proven allows   |
      | cut inside its body    | what a failure not proven allows   |
      | cut inside a chunk     | what a failure not proven allows   |

  Scenario Outline: A failure after an answer that may be the request's
    # Guards against an answer that is believed after another one that may be
    # the request's own: it names no request, or an earlier one that had
    # another answer.
    When callers send each kind of request, which meets another answer before a failure <shape>
    Then each caller gets what a failure not proven allows

    Examples: failures
      | shape                  |
      | of status 500          |
      | of status 404          |
      | of status 503          |
      | in chunks              |
      | without framing        |

  Scenario Outline: A failure after a send that was given up is passed on
    # Guards against a late answer to a send that was given up which counts as
    # the answer to the next send of the request.
    When a caller asks for "<path>", and its first upstream stays silent
    And the first upstream answers a success late, the next one a failure
    Then that caller gets the failure

    Examples: requests that may be repeated
      | path         |
      | /records/1?q |
      | /chat/1      |

  Scenario: A continuation that fails does not complete a stream
    # Guards against a failure, or a late copy of another answer, that is
    # taken for the rest of a stream that may run once.
    Given engines that copy the KV cache of runs
    When a run breaks off and its continuation meets a failure
    Then its caller's stream is not complete, and it ran once
