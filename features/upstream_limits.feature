Feature: Limits that upstreams name hold over all direct routers

  Limiters of several routers run in simulated time and know nothing of the
  limit at first. An upstream takes one and a half times its limit and 5
  requests more in any 4 s, counted from 3 s after it first named it.

  Rule: An upstream gets what it takes, and no more

    Scenario Outline: Requests in steady skew
      Given <routers> routers and an upstream that names <rate> requests a second
      When it is wanted <load> times as often <skew> for <seconds> s, with seed <seed>
      Then no window of informed routers exceeds what the upstream takes
      And it gets at least 0.8 of what it names

      Examples:
        | routers | rate | load | skew        | seconds | seed |
        | 1       | 2.4  | 3    | evenly      | 30      | 1    |
        | 3       | 0.5  | 10   | evenly      | 30      | 2    |
        | 4       | 2.1  | 3    | evenly      | 30      | 3    |
        | 4       | 2.1  | 3    | through two | 30      | 4    |
        | 22      | 2.4  | 3    | evenly      | 30      | 5    |
        | 22      | 40   | 2    | through two | 30      | 6    |
        | 80      | 10   | 2    | evenly      | 30      | 7    |
        | 330     | 20   | 4    | evenly      | 18      | 8    |

    Scenario Outline: A flood during a fault
      # Guards against a limit that is multiplied: by the halves of a
      # partition, by new processes, or by routers that are counted late.
      Given <routers> routers and an upstream that names <rate> requests a second
      And among them <fault>
      When it is wanted <load> times as often evenly for 30 s, with seed <seed>
      Then no window of informed routers exceeds what the upstream takes

      Examples:
        | routers | rate | load | fault                              | seed |
        | 4       | 2.4  | 5    | the halves are cut from each other | 11   |
        | 22      | 2.4  | 5    | the halves are cut from each other | 12   |
        | 22      | 10   | 5    | cuts come and go                   | 13   |
        | 22      | 2.4  | 5    | all are killed and start again     | 14   |
        | 4       | 2.4  | 5    | they are restarted in turn         | 15   |
        | 22      | 10   | 5    | they are restarted in turn         | 16   |
        | 4       | 2.4  | 5    | they count one router too few      | 17   |
        | 80      | 2.4  | 4    | the halves are cut from each other | 18   |

  Rule: Every router learns that a limit has ended

    Scenario Outline: A limit ends while few send anything
      # Guards against a router that keeps away from an upstream for good.
      Given <routers> routers and an upstream that names <rate> requests a second
      And the limit ends after 20 s
      When it is wanted <load> times as often <skew> for 30 s, with seed <seed>
      Then no router holds the limit at the end

      Examples:
        | routers | rate | load | skew        | seed |
        | 4       | 2.4  | 3    | through two | 21   |
        | 22      | 0.5  | 10   | through two | 22   |
        | 80      | 2.4  | 4    | evenly      | 23   |

    Scenario: A router that reaches no other asks the upstream itself
      Given 22 routers and an upstream that names 1 requests a second
      And the limit ends after 20 s
      And among them all are cut off from each other after 12 s
      When it is wanted 20 times as often evenly for 70 s, with seed 24
      Then no window of informed routers exceeds what the upstream takes
      And no router holds the limit at the end
