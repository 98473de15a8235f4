Feature: Limits of teams hold over all direct routers

  Limiters of several routers run in simulated time. A team may run its rate
  for a window of 8 s and its burst, times 1.1, and 72000 tokens more.

  Rule: What fits is let through, and no window exceeds the limit

    Scenario Outline: Requests in steady skew
      Given <routers> routers and a team with a limit of <rate> tokens a second
      When it sends <load> times its limit <skew> for 20 s, with seed <seed>
      Then no window exceeds the limit
      And at least 0.95 of what fits is let through

      Examples:
        | routers | rate   | load | skew               | seed |
        | 1       | 18000  | 0.55 | evenly             | 1    |
        | 1       | 134000 | 2.0  | evenly             | 2    |
        | 3       | 134000 | 0.9  | through two        | 3    |
        | 22      | 18000  | 0.55 | evenly             | 4    |
        | 22      | 18000  | 2.0  | through two        | 5    |
        | 22      | 134000 | 0.55 | through two        | 6    |
        | 22      | 134000 | 0.9  | evenly             | 7    |
        | 22      | 134000 | 2.0  | evenly             | 8    |
        | 80      | 134000 | 0.9  | through two        | 9    |
        | 330     | 134000 | 0.55 | through two        | 10   |

    Scenario Outline: Requests that move to another router each second
      # Guards against refusing requests within the limit because the share
      # is held by the router that received them a second ago.
      Given <routers> routers and a team with a limit of <rate> tokens a second
      When it sends <load> times its limit through one that changes for 20 s, with seed <seed>
      Then no window exceeds the limit
      And at least 0.8 of what fits is let through

      Examples:
        | routers | rate   | load | seed |
        | 3       | 134000 | 0.9  | 1    |
        | 22      | 18000  | 2.0  | 2    |
        | 22      | 134000 | 0.9  | 3    |
        | 80      | 134000 | 2.0  | 4    |

  Rule: No window exceeds the limit in a fault

    Scenario Outline: A flood during a fault
      # Guards against a limit that is multiplied: by the halves of a
      # partition, by new processes that each bring a burst, by a keeper that
      # changes, or by routers that count each other late.
      Given <routers> routers and a team with a limit of <rate> tokens a second
      And <fault>
      When it sends 3 times its limit <skew> for 24 s, with seed <seed>
      Then no window exceeds the limit

      Examples:
        | routers | rate   | fault                                    | skew        | seed |
        | 22      | 134000 | the halves are cut from each other       | evenly      | 1    |
        | 22      | 18000  | the halves are cut from each other       | evenly      | 2    |
        | 3       | 134000 | the halves are cut from each other       | evenly      | 3    |
        | 22      | 134000 | cuts come and go                         | evenly      | 4    |
        | 22      | 18000  | cuts come and go                         | through two | 5    |
        | 22      | 134000 | all are killed and start again           | evenly      | 6    |
        | 22      | 18000  | all are killed and start again           | evenly      | 7    |
        | 22      | 134000 | they are restarted in turn               | evenly      | 8    |
        | 22      | 18000  | they are restarted in turn               | through two | 9    |
        | 3       | 134000 | they are restarted in turn               | evenly      | 10   |
        | 22      | 134000 | they count one router too few            | evenly      | 11   |
        | 22      | 134000 | upstreams refuse half of what is sent    | evenly      | 12   |
        | 22      | 18000  | upstreams refuse half of what is sent    | evenly      | 13   |

    Scenario Outline: Drawn faults, limits and loads
      Given drawn routers, limits, cuts and restarts with seed <seed>
      When all teams send for 20 s
      Then no window exceeds the limit

      Examples:
        | seed |
        | 101  |
        | 102  |
        | 103  |
        | 104  |
        | 105  |
        | 106  |
        | 107  |
        | 108  |

    Scenario: A lower limit binds at once
      # Guards against running on tokens that came in under the limit before.
      Given 22 routers and a team with a limit of 134000 tokens a second
      And it is lowered to 18000 tokens a second after 8 s
      When it sends 2 times its limit evenly for 24 s, with seed 21
      Then no window from 8 s after that exceeds the lower limit

  Rule: Faults do not refuse what fits

    Scenario: A keeper that ends is replaced
      # Guards against refusing a team until the routers count each other anew.
      Given 22 routers and a team with a limit of 134000 tokens a second
      And the keeper of its pool is killed after 8 s
      When it sends 0.55 times its limit evenly for 20 s, with seed 31
      Then at least 0.8 of what fits is let through

    Scenario: A rolling restart refuses little
      Given 22 routers and a team with a limit of 134000 tokens a second
      And they are restarted in turn
      When it sends 0.55 times its limit evenly for 20 s, with seed 32
      Then at least 0.8 of what fits is let through

    Scenario: Routers without a share use that of others
      # Guards against routers that refuse everything until all count them.
      Given 22 routers and a team with a limit of 134000 tokens a second
      And a third of them is not counted yet
      When it sends 0.55 times its limit evenly for 20 s, with seed 33
      Then at least 0.8 of what fits is let through

    Scenario: Little is refused after all were killed
      # Guards against refusing teams that are far below their limits: all
      # accounts and pools are empty when all processes are new.
      Given 22 routers and a team with a limit of 134000 tokens a second
      And all are killed and start again
      When it sends 0.55 times its limit evenly for 20 s, with seed 34
      Then no window exceeds the limit
      And at most 0.1 of what comes right after a start is refused

  Rule: Messages do not follow refusals

    Scenario: A flood costs few messages
      # Guards against a message for each request that is refused.
      Given 22 routers and a team with a limit of 18000 tokens a second
      When it sends 40 times its limit evenly for 20 s, with seed 41
      Then no window exceeds the limit
      And each router sends at most 12 messages a second

  Rule: Settling costs little with many teams

    Scenario: A settlement of thousands of teams
      # Guards against an event loop that is blocked for a third of a second
      # by choosing the keeper of each team among all routers.
      When a router of 330 settles the limits of 2500 teams
      Then it reads the list of routers at most 2 times

  Rule: Retry-After spreads the callers that return

    Scenario: Callers that are refused together return spread out
      Given 22 routers and a team with a limit of 18000 tokens a second
      When it sends 6 times its limit evenly for 20 s, with seed 51
      Then no Retry-After makes many callers return at once

  Rule: A small limit is not lost between many routers

    Scenario Outline: A request after a pause
      # Guards against shares that are too small to be moved to the pool, so
      # that no router ever holds what one request counts.
      Given <routers> routers and a limit of 3 requests a second
      When nothing is sent for 10 s
      Then any router lets a request through

      Examples:
        | routers |
        | 4       |
        | 22      |
        | 330     |

  Rule: A settlement hides no tokens from requests

    Scenario: A request that arrives as its router settles
      # Guards against refusing a team while what it may use is on its way to
      # the pool that the same router keeps.
      Given a router that alone holds a limit of 1 request a second
      When a request is refunded, and the next one arrives as the router settles
      Then both are let through

  Rule: What never ran costs a team nothing

    Scenario: A request that is refused late
      # Guards against refusing a team whose request waited at an upstream that
      # refused it in the end.
      Given a router that alone holds a limit of 1 request a second
      When a request is refunded after 0.5 s, and the next one arrives
      Then both are let through

    Scenario Outline: Upstreams that refuse late
      # Guards against a limit that is exceeded by what is given back after the
      # routers have received new tokens in place of that.
      Given <routers> routers and a team with a limit of <rate> tokens a second
      And upstreams refuse what is sent in the first 8 s, after <after> s
      When it sends 3 times its limit evenly for 24 s, with seed <seed>
      Then no window exceeds the limit

      Examples:
        | routers | rate   | after | seed |
        | 1       | 18000  | 3     | 61   |
        | 22      | 134000 | 3     | 62   |
        | 22      | 134000 | 6     | 63   |
