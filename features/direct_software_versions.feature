Feature: A stream goes on only at the software version that began it

  What two versions of an upstream's software write does not fit together, and
  upstreams don't check it.

  Background:
    Given a store with a configuration
    And routers that call each other

  Rule: One answer holds events of one software version

    Scenario: A stream whose software version has no other engine is aborted
      # Guards against events of two software versions in one answer.
      Given an engine "eng-1" of software "v1"
      And an engine "eng-2" of software "v2"
      And 1 routers that know each other
      And the next upstream cut
      When a caller asks a model
      Then the caller's answer is aborted
      And exactly one upstream received the request

  Rule: A caller takes a stream up at the software version that began it

    Scenario: A stream whose software version has left is refused at once
      # Guards against events of two software versions over a caller's tries.
      Given an engine "eng-1" of software "v1"
      And 2 routers that know each other
      And a caller that read the first event of a stream at router 1
      And an engine "eng-2" of software "v2"
      And "eng-1" is draining
      When it takes the stream up at router 2
      Then the answer is 503 with a time to come back
      And no engine of software "v2" received anything
