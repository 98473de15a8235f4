Feature: A stream goes on after the event that its caller names

  The platform asks for increasing ids and sets no limit to them.

  Background:
    Given a store with a configuration
    And engines "eng-1" and "eng-2"
    And a direct router

  Rule: The engine receives the id that the caller sent

    Scenario Outline: A caller takes up a stream whose ids are <ids>
      # Guards against a stream that starts again, as an id of ten digits or
      # more, or one that is no number, counted as none.
      Given engines whose event ids are <ids>
      And a caller that read a stream
      When it takes the stream up after event 2
      Then the engine receives the id of event 2 unchanged
      And the answer is 200 with the events after event 2

      Examples:
        | ids                         |
        | numbers                     |
        | numbers of 13 digits        |
        | numbers of 19 digits        |
        | numbers of 5000 digits      |
        | numbers with leading zeros  |
        | numbers with a sign         |
        | texts                       |
        | texts in UTF-8              |
        | superscript digits          |

    Scenario Outline: An id that the protocol allows starts no new stream
      # Guards against an id that is dropped because no number is read in it.
      Given a caller that read a stream
      When it takes the stream up with "<id>"
      Then an engine receives the id "<id>"

      Examples:
        | id            |
        | nan           |
        | -5            |
        | 1e3           |
        | 12.5          |
        | 12,13         |
        | 1764800000000 |

    Scenario: A stream is taken up with an empty id
      # Guards against a new stream that is refused or called a continuation.
      When a caller sends the ids "(none)"
      Then the answer is 200 with all events once and in order
      And engines receive no id

    Scenario: A stream is taken up with one id sent twice
      # Guards against a list of ids that an engine has not given.
      Given a caller that read a stream
      When it sends the ids "2, 2"
      Then the answer is 200 with the events after event 2

    Scenario: A stream is taken up with two ids
      # Guards against a guess which events the caller has.
      Given a caller that read a stream
      When it sends the ids "2, 3"
      Then the answer is 400 and says that nothing ran
      And no second request reached an engine

    Scenario: Two ids do not matter where nothing is streamed
      # Guards against a refusal of a request that has no place to go on at.
      Given plain upstreams "reg-1" and "reg-2"
      When a caller of a record sends the ids "2, 3"
      Then the upstream receives the ids "2, 3"

  Rule: No event is passed on twice

    Scenario Outline: An engine starts a stream anew whose ids are <ids>
      # Guards against events that a caller gets twice after an engine broke
      # a stream off.
      Given engines whose event ids are <ids>
      And engines that start each stream anew
      And the next upstream cut
      When a caller asks a model
      Then the answer is 200 with all events of the engine once and in order

      Examples:
        | ids                         |
        | numbers                     |
        | numbers of 13 digits        |
        | numbers of 5000 digits      |
        | numbers with leading zeros  |
        | texts                       |
        | superscript digits          |

    Scenario: Events of one answer that share an id are passed on
      # Guards against events that are lost because their ids repeat.
      Given engines whose event ids are one text
      When a caller asks a model
      Then the answer is 200 with all events of the engine once and in order

    Scenario: A stream without ids is broken off
      # Guards against events that come twice, as no engine can tell after
      # which event to go on.
      Given engines whose event ids are missing
      And the next upstream cut
      When a caller asks a model
      Then the caller's answer is aborted
      And exactly one upstream received the request
