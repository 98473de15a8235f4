Feature: An answer without a body ends with its head

  An answer to HEAD states the length of a body that is not sent, and an
  answer of status 304 may do so.

  Background:
    Given a store with a configuration
    And a plain upstream and an engine
    And a direct router

  Scenario Outline: An answer without a body
    # Guards against an answer whose body is waited for until the time limit,
    # and against a length that is changed or made up on its way.
    Given upstreams that answer with <status>, "<header>" and no body
    When a caller sends <method> to "<path>"
    Then it gets <status> and "<header>" at once
    And the next request goes over the same connection

    Examples: answers to HEAD
      | method | path       | status | header                     |
      | HEAD   | /records/1 | 200    | Content-Length: 1234       |
      | HEAD   | /records/1 | 200    | Content-Length: 0          |
      | HEAD   | /records/1 | 200    | Content-Length: 9999999999 |
      | HEAD   | /records/1 | 200    | Transfer-Encoding: chunked |
      | HEAD   | /records/1 | 200    | no length                  |
      | HEAD   | /chat/1    | 200    | Content-Length: 1234       |
      | HEAD   | /chat/1    | 200    | Transfer-Encoding: chunked |

    Examples: statuses without a body
      | method | path       | status | header               |
      | GET    | /records/1 | 304    | Content-Length: 1234 |
      | GET    | /records/1 | 304    | no length            |
      | GET    | /records/1 | 204    | Content-Length: 0    |
      | GET    | /records/1 | 204    | no length            |
      | POST   | /chat/1    | 204    | no length            |

  Scenario: A failure without a body
    # Guards against a body that is waited for until the time limit, and
    # against a connection that is used again after a failure.
    Given upstreams that answer with 404, "Content-Length: 12" and no body
    When a caller sends HEAD to "/records/1"
    Then it gets 404 and "Content-Length: 12" at once
    And the next request goes over another connection

  Scenario: A body after the head of an answer to HEAD
    # Guards against bytes that are taken for the answer to the next request.
    Given another plain upstream
    And upstreams that answer with a body to HEAD
    When a caller sends HEAD to "/records/1"
    Then it gets 200 and "Content-Length: 4" at once
    And the next 4 requests get their own answers
