@slow
Feature: Answers without end are cut off at their bounds

  An upstream in trouble sends bytes until its peer closes the connection, as
  fast as it can or slowly. One router process, four engines, of which one
  sends such answers; the bounds compare with the same load before.

  Background:
    Given a store with a configuration
    And 4 engines and a router process

  Scenario Outline: One engine answers without end
    # Guards against a router whose memory and processor time one engine takes,
    # and against requests that are refused or late though others could serve.
    Given a calm load for <lasts> s
    When one engine sends <what> without end, <pace>, under that load for <lasts> s
    Then all requests are served, at most <late> s later than before
    And memory peaks at most 16 MiB above, processor time at most 1.5 times
    And no request that may run once ran twice

    Examples: fast, within 0.5 s
      | what                           | pace | late | lasts |
      | a plain answer                 | fast | 0.5  | 2     |
      | a plain answer without framing | fast | 0.5  | 2     |
      | an event                       | fast | 0.5  | 2     |
      | an answer to another request   | fast | 0.5  | 2     |
      | bytes that are no answer       | fast | 0.5  | 2     |
      | a head                         | fast | 0.5  | 2     |
      | interim answers                | fast | 0.5  | 2     |

    Examples: slowly, within the gap after which callers leave
      | what                           | pace   | late | lasts |
      | an event                       | slowly | 2.0  | 4     |
      | an answer to another request   | slowly | 2.0  | 4     |
      | bytes that are no answer       | slowly | 2.0  | 4     |
      | a head                         | slowly | 2.0  | 4     |
      | interim answers                | slowly | 2.0  | 4     |

  Scenario Outline: One engine answers the router's own calls without end
    # Guards against a router whose memory an answer to an order takes, some
    # 50 MiB each, and against engines that wait for one that never ends.
    Given a calm load for 2 s while weights are named
    When one engine answers "<path>" without end, <pace>, under that load for 2.5 s
    Then all requests are served
    And memory peaks at most 16 MiB above, processor time at most 1.5 times
    And the other engines have the weights that were named
    And each of these answers was cut off after at most 0.8 s

    Examples: calls
      | path    | pace   |
      | /order  | fast   |
      | /order  | slowly |
      | /report | fast   |
      | /report | slowly |

  Scenario: Requests beside calls without end are on time
    # Guards against requests that wait for an order or a report that never
    # ends.
    Given a calm load for 2 s while weights are named
    When one engine answers "/order" without end, fast, under that load for 2.5 s
    Then all requests are served, at most 0.5 s later than before
    When one engine answers "/order" without end, slowly, under that load for 2.5 s
    Then all requests are served, at most 0.5 s later than before
    When one engine answers "/report" without end, fast, under that load for 2.5 s
    Then all requests are served, at most 0.5 s later than before
    When one engine answers "/report" without end, slowly, under that load for 2.5 s
    Then all requests are served, at most 0.5 s later than before

  Scenario: The store answers without end
    # Guards against a router whose memory a list of the store takes.
    Given a calm load for 2 s
    When the store answers without end under that load for 1.5 s
    Then memory peaks at most 16 MiB above, processor time at most 1.5 times
    And requests are served again once the store answers

  Scenario Outline: A large answer that ends is not cut off
    # Guards against bounds that valid answers exceed.
    Given upstreams whose answers have <bytes> bytes in <events> events
    When a caller asks for a record and a stream
    Then it gets both whole

    Examples: sizes
      | bytes    | events |
      | 4194304  | 1000   |
      | 20000000 | 100    |

  Scenario: A large configuration is not cut off
    # Guards against teams that are refused for the size of their list.
    Given a configuration of 1000000 bytes
    When a caller of the last team in it asks for a record
    Then it is served

  Scenario: A request that may run once is told that it may have run
    # Guards against a second run of a request whose first answer has no end.
    Given a calm load for 0.2 s
    When every engine sends an event without end and a stream may run once
    Then its caller is told at once that it may have run
    And no request that may run once ran twice
