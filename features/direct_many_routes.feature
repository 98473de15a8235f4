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

  Scenario: Of two routes with one prefix the first counts
    Given a route "/a/" to "first" and then one to "second"
    Then "/a/x" leads to the service "first"

  Scenario: A route that did not change is not decoded anew
    # Symptom: all streams of a router stop for a tenth of a second when a
    #   route changes.
    # Sequence: a configuration is written whole for each change; all of its
    #   thousands of routes are decoded and built again.
    # Cause: nothing of what was known was used.
    Given a configuration of 3000 routes that was decoded
    When it is decoded with a route more and one changed
    Then 2999 routes are those of before and all are as written

  Scenario: A configuration with an unreadable route changes nothing
    Given a configuration of 3 routes that was decoded
    When one with an unreadable route is refused
    And it is decoded with a route more and one changed
    Then 2 routes are those of before and all are as written
