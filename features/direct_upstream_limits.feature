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
