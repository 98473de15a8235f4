Feature: A late success is not believed after an answer that may be the request's

  A faulty upstream answers a request with a failure that does not name it,
  and later, on the same connection, with a success that does. Only a copy of
  an earlier answer of the connection is known to belong to another request.

  Background:
    Given a store with a configuration
    And 3 upstreams that answer twice, and as many engines
    And a direct router

  Scenario Outline: A success comes after a failure that is not named
    # Guards against a success where the upstream had answered with a failure.
    When each kind of request is answered with <answer>, then with a success
    Then no caller gets that success, and what may run once ran once

    Examples: no request is named
      | answer                                 |
      | a failure without an id                |
      | a signed failure without an id         |
      | a failure without an id, in chunks     |
      | a failure without an id and a body     |
      | a 503 without an id                    |
      | a 504 without an id                    |
      | a success without an id                |

    Examples: another request is named
      | answer                                 |
      | a failure of an unknown request        |
      | a refusal of an unknown request        |
      | a success of an unknown request        |
      | a failure that names two requests      |
      | a failure of the request before        |
      | a signed failure of the request before |
      | a refusal of the request before        |
      | another success of the request before  |

    Examples: a copy is no copy
      | answer                                 |
      | a copy that swallows a failure         |
      | a copy in chunks that swallows one     |
      | a copy that is cut and swallows one    |

  Scenario: A success comes after a failure on a new connection
    # Guards against the same on the first request of a connection.
    When each kind of request is answered first of all with a failure without an id, then with a success
    Then no caller gets that success, and what may run once ran once

  Scenario: A success comes after a failure of a run that goes on from its copy
    # Guards against a stream that goes on after its continuation has failed.
    Given engines that copy the KV cache of runs
    When a run breaks off, and its continuation is answered with a failure without an id, then with events
    Then its caller's stream is not complete, and it ran once

  Scenario Outline: A copy of an earlier answer decides nothing
    # Guards against answers that are lost because a copy came before them.
    When each kind of request is answered with <answer>, then with a success
    Then each caller gets that success

    Examples: copies
      | answer                                 |
      | a copy of the answer before            |
      | 20 copies of the answer before         |

  Scenario Outline: An answer that is cut short is followed by <next>
    # Guards against an answer that is taken for whole because the bytes of
    # the next one fill its length.
    When answers lack any number of bytes, and <next> follows <when>
    Then each answer that counts is whole

    Examples: answers
      | next                      | when     |
      | the whole one             | at once  |
      | the whole one             | later    |
      | a failure                 | at once  |
      | a copy of an earlier one  | later    |

  Scenario: An answer that is cut short is followed by a failure without an id
    # Guards against the same where the next answer names no request. Only one
    # that is swallowed to its last byte can't be told from a text.
    When answers lack any number of bytes, and a failure without an id follows at once
    Then each answer that counts is whole, but for the one with a whole failure

  Scenario Outline: A head that is cut short is followed by another answer
    # Guards against the status of one answer with the id, the signature and
    # the body of the next one, whose status line ends a line of the first.
    When heads of <first> lack any number of bytes, and <next> follows
    Then no answer counts that is of both

    Examples: answers
      | first     | next      |
      | a success | a failure |
      | a refusal | a success |

  Scenario: A connection is not used again if bytes follow an answer
    # Guards against bytes that nobody waits for which become part of the next
    # answer on the connection.
    When a failure begins right after the answer to the first of two requests
    Then the second one gets its own answer, on another connection

  Scenario: A large text with many status lines is passed on in time
    # Guards against a router that stands still while it reads an answer.
    When an answer has 1000000 bytes of status lines
    Then it is whole after at most 1.0 s

  Scenario Outline: A request with an id that its connection has carried
    # Guards against a copy of an earlier answer that is taken for the answer
    # to a request which its caller sends once more with the same id.
    When a request comes again after <count> others, and a copy of its answer precedes its second one
    Then it gets its second answer

    Examples: others
      | count |
      | 10    |
      | 70    |

  Scenario: A text on HTTP is passed on
    # Guards against answers that are lost because they hold a status line.
    When answers with a status line in their text are followed by nothing
    Then each of them is whole

  Scenario Outline: A stream without framing that is cut short is followed by <next>
    # Guards against the head of an answer that is passed on as an event.
    When a stream without framing is cut <where> an event, and <next> follows
    Then its caller gets no part of the second one

    Examples: answers
      | where  | next                    |
      | inside | the whole one           |
      | after  | the whole one           |
      | inside | a failure without an id |
      | after  | a failure without an id |

  Scenario: A connection carries nothing after a failure
    # Guards against a late copy of a failure that is taken for a failure of
    # the next request, or hides one.
    When 6 requests are refused or fail, and as many are served
    Then no connection carried a request after a failure
