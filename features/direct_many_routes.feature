Feature: A direct router with thousands of routes

  Scenario Outline: The route of the longest prefix is found
    Given the routes "/a/", "/a/b/", "/a/b/c" and "/" of one host
    Then "<path>" leads to "<route>"

    Examples:
      | path         | route   |
      | /a/x         | /a/     |
      | /a/b/x       | /a/b/   |
      | /a/b         | /a/     |
      | /a/b/c       | /a/b/c  |
      | /a/b/cd?x=1  | /a/b/c  |
      | /z           | /       |
      | /?q=/a/b/    | /       |

  Scenario: Of two routes with the same prefix the first is used
    Given a route "/a/" to "first" and then one to "second"
    Then "/a/x" leads to the service "first"

  Scenario: An unchanged route is not decoded again
    # Guards against an interruption of all streams of a router for a tenth of
    # a second when a route changes. The whole configuration is written at each
    # change, so decoding must reuse the objects of its thousands of unchanged
    # routes.
    Given a decoded configuration of 3000 routes
    When it is decoded with one route added and one changed
    Then 2999 routes are reused and all are as written

  Scenario: A configuration with an invalid route changes nothing
    Given a decoded configuration of 3 routes
    When a configuration with an invalid route is rejected
    And it is decoded with one route added and one changed
    Then 2 routes are reused and all are as written
