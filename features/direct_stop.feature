@slow
Feature: A direct router that stops answers what it has read

  A router process gets SIGTERM. It may go on for a few seconds and is killed
  then, so every request that was read must have its answer before. Requests
  on the route "/slow/" have 20 s, which is longer than the router may go on.

  Background:
    Given a store with a configuration
    And plain upstreams "reg-1" and "reg-2"
    And engines "eng-1" and "eng-2"
    And a direct router that logs to a file
    And a route with a long timeout

  Rule: What is still open at the end of a stop is answered

    Scenario Outline: A <method> request that is still at work
      # Guards against requests that were passed on and are cut without an
      # answer when the time to stop is over.
      Given all upstreams hold their answers
      When a caller has an open <method> request for "/slow/2"
      And the router gets <signals>
      Then the router ends with code 0 in time
      And the caller gets 502 and "Connection: close"
      And the upstream was told that the caller has left

      Examples:
        | method | signals             |
        | GET    | SIGTERM             |
        | POST   | SIGTERM             |
        | HEAD   | SIGTERM             |
        | POST   | SIGTERM and SIGTERM |
        | POST   | SIGTERM and SIGHUP  |

    Scenario: A stream that has not begun, held for a caller without chunks
      # Guards against an answer that begins inside the router and is cut
      # although its caller has no byte of it.
      Given a stream route with a long timeout and slow events
      And the next upstream stalls
      When a caller without chunks asks for a stream on that route
      And the router gets SIGTERM
      Then the router ends with code 0 in time
      And the caller gets 502 and "Connection: close"

    Scenario: A stream that has begun
      # Guards against a stream without its end that looks complete.
      Given a stream route with a long timeout and slow events
      And the next upstream stalls
      When a caller reads the first event of a stream on that route
      And the router gets SIGTERM
      Then the router ends with code 0 in time
      And the stream is seen as incomplete

    Scenario: A body that never becomes whole
      # Guards against a request that is sent although a part is missing, and
      # against a cut where a true 503 tells the caller that it did not run.
      When a caller has sent a part of a request for "/slow/3"
      And the router gets SIGTERM
      Then the router ends with code 0 in time
      And the caller gets 503 and "Connection: close"
      And no upstream received the request

    Scenario: A stop that SIGHUP has made shorter
      # Guards against a router that is killed with open requests, as it goes
      # on for the time that it read when it started.
      Given all upstreams hold their answers
      And the router has read that a stop takes 2 s
      When a caller has an open POST request for "/slow/2"
      And the router gets SIGTERM
      Then the router ends with code 0 within 2 s
      And the caller gets 502 and "Connection: close"

  Rule: What may not be answered in time is not passed on

    Scenario Outline: A request that comes <way> and may outlast the stop
      # Guards against requests that are taken late and cannot be answered
      # before the router ends, while other routers could serve them.
      When a <way> is open as the stop begins
      And a request for "/slow/4" comes on it
      Then the caller gets 503 and "Connection: close" at once
      And no upstream received the request

      Examples:
        | way                             |
        | new connection                  |
        | kept connection                 |
        | body without its last bytes     |
        | chunked body without its end    |

    Scenario: A request on a route whose answers are short
      # Guards against a router that refuses everything while the balancer
      # still sends to it, for a time limit that answers never need.
      Given 30 requests to "/slow/1" were answered
      When a new connection is open as the stop begins
      And a request for "/slow/4" comes on it
      Then the caller gets 200 and "Connection: close" at once

    Scenario: A request on a route whose answers have become slow
      # Guards against earlier answers that hide that upstreams hang now.
      Given 30 requests to "/slow/1" were answered
      And all upstreams hold their answers
      And 4 requests to "/slow/1" have been open for 3 s
      When a new connection is open as the stop begins
      And a request for "/slow/4" comes on it
      Then the caller gets 503 and "Connection: close" at once

    Scenario Outline: A <body> that becomes whole when no callers come any more
      # Guards against streams that begin late in a stop, as earlier ones were
      # short, and are cut at its end.
      Given a stream route with a long timeout and slow events
      And 30 streams on that route were answered
      And all upstreams stall after an event
      When a <body> for that route is open as the stop begins
      And its last bytes come 2.9 s later
      Then the caller gets 503 and "Connection: close" at once
      And no upstream received the request

      Examples:
        | body         |
        | body         |
        | chunked body |

    Scenario: A request whose time limit ends before the stop
      When a new connection is open as the stop begins
      And a request for "/certificates/4" comes on it
      Then the caller gets 200 and "Connection: close" at once

    Scenario Outline: What is left of the stop and what answers took
      Given <count> answers that took <took_s> s
      And <open> requests that have been open for <age_s> s
      When a request with <limit_s> s may be sent <left_s> s before the end
      Then it is <result>

      Examples: Callers still come
        | count | took_s | open | age_s | limit_s | left_s | result          |
        | 0     | 0.05   | 0    | 0     | 5       | 7      | sent            |
        | 0     | 0.05   | 0    | 0     | 8       | 7      | refused for now |
        | 2     | 0.05   | 0    | 0     | 8       | 7      | refused for now |
        | 5     | 0.05   | 0    | 0     | 8       | 7      | sent            |
        | 5     | 3.0    | 0    | 0     | 8       | 7      | refused for now |
        | 20    | 3.0    | 0    | 0     | 8       | 7      | sent            |
        | 20    | 7.5    | 0    | 0     | 8       | 7      | refused for now |
        | 20    | 7.5    | 0    | 0     | 6       | 7      | sent            |
        | 128   | 0.05   | 1    | 5     | 8       | 7      | sent            |
        | 128   | 0.05   | 4    | 8     | 9       | 7      | refused for now |

      Examples: No callers come any more
        | count | took_s | open | age_s | limit_s | left_s | result          |
        | 128   | 0.05   | 0    | 0     | 5       | 4.8    | refused for now |
        | 128   | 0.05   | 0    | 0     | 4.5     | 4.7    | sent            |
