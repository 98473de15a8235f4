Feature: A direct router keeps to what upstreams say that they take

  Background:
    Given a store with a configuration
    And plain upstreams "reg-1" and "reg-2"
    And engines "eng-1" and "eng-2"
    And a direct router whose predecessor was counted

  Rule: A limit that an upstream names is known while it is named

    Scenario: A limit is logged when it begins, changes and ends
      Given the limit of "eng-1" is 2.5, then 1.25, then none
      When a caller asks "eng-1" once under each
      Then the log says once each that the limit is 2.5, 1.25 and none

    Scenario Outline: A malformed limit breaks no answer and limits nothing
      # Guards against an answer lost to a header that a router can't read.
      Given the limit of "eng-1" is named as "<text>"
      When a caller asks "eng-1" 3 times
      Then all are answered, and no limit of "eng-1" is in force

      Examples:
        | text     |
        | many     |
        | -3       |
        | nan      |
        | 1e3      |
        | 2.5, 2.5 |
        |          |

  Rule: Routers together send an upstream what it says that it takes

    Scenario: Requests through one router
      # Guards against an upstream that gets what it said it has no room for.
      Given the limit of "eng-1" is named as "2"
      When callers ask a model 12 times a second for 8 s
      Then "eng-1" gets no more than it takes, and no less than three quarters
      And all requests are answered

    Scenario: Requests through three routers
      # Guards against a limit that each router takes for its own.
      Given 3 routers in all that call each other
      And the limit of "eng-1" is named as "2"
      When callers ask a model 12 times a second for 8 s
      Then "eng-1" gets no more than it takes, and no less than three quarters
      And all requests are answered

    Scenario: Requests of a plain service
      Given the limit of "reg-1" is named as "3"
      When callers fetch a record 16 times a second for 8 s
      Then "reg-1" gets no more than it takes, and no less than three quarters
      And all requests are answered

    Scenario: Requests that another upstream broke off
      # Guards against retries that pass a limit by.
      Given the limit of "eng-1" is named as "2"
      And "eng-2" resets all requests
      When callers ask a model 6 times a second for 8 s
      Then "eng-1" gets no more than it takes, and no less than three quarters

    Scenario: A burst that one engine has to take alone
      # Guards against callers that are refused although an engine is free to
      # answer them within their target.
      Given the limit of "eng-1" is named as "1"
      When a caller asks "eng-1" 1 times
      And 14 prompts come before an engine has begun the first of them
      Then all requests are answered

    Scenario: A refused caller learns when an upstream takes a request again
      # Guards against requests that wait at the router for their deadline.
      Given the limit of "eng-1" is named as "1"
      And the limit of "eng-2" is named as "1"
      When callers ask a model 12 times a second for 4 s
      Then what is refused is refused at once, with a time to come back

    Scenario: A limit that ends
      Given the limit of "eng-1" is named as "1"
      When callers ask a model 12 times a second for 3 s
      And "eng-1" names no limit
      And callers ask a model 12 times a second for 4 s
      And "eng-2" is draining
      And callers ask a model 12 times a second for 2 s
      Then "eng-1" gets all of them, far beyond its limit
      And all requests are answered

    Scenario: A router that sends nothing learns that a limit ended
      # Guards against an upstream that a router avoids for good, as no answer
      # tells it that the limit ended.
      Given 3 routers in all that call each other
      And the limit of "eng-1" is named as "2"
      When callers ask a model 12 times a second for 4 s
      And "eng-1" names no limit
      And callers ask a model 12 times a second for 3 s, through the first only
      Then no router limits what it sends to "eng-1"

    Scenario: A limit belongs to the start that named it
      Given the limit of "eng-1" is named as "1"
      When callers ask a model 12 times a second for 3 s
      And "eng-1" restarts and is known
      Then no router limits what it sends to "eng-1"
      When "eng-2" is draining
      And callers ask a model 12 times a second for 4 s
      Then "eng-1" gets all of them, far beyond its limit
      And all requests are answered
