Feature: Only an answer that arrived whole passes for a complete one

  An answer may have neither a length nor chunks and end with its connection.
  A stream that ends inside an event has been broken off.

  Rule: One place decides whether an answer is whole

    Scenario Outline: The end of a stream decides whether it is whole
      When a stream of "<events>" ends as <end>, started after event <after>
      Then the answer counts as <counts>

      Examples:
        | events               | end     | after | counts    |
        | id: 1\n\n            | length  | -     | whole     |
        | id: 1\n\n            | chunks  | -     | whole     |
        | id: 1\n\n            | closed  | -     | whole     |
        | id: 1\n\n            | broken  | -     | not whole |
        | id: 1\n\nid: 2\n     | length  | -     | not whole |
        | id: 1\n\nid: 2\n     | chunks  | -     | not whole |
        | id: 1\n\nid: 2\n     | closed  | -     | not whole |
        | id: 1\n              | closed  | -     | not whole |
        | id: 1\r\n\r\n        | closed  | -     | whole     |
        | id: 1\r\rid: 2\r\r   | closed  | -     | whole     |
        | id: 1\r\rid: 2\r     | closed  | -     | not whole |
        | id: 1\n\n\n          | closed  | -     | whole     |
        | (none)               | closed  | -     | not whole |
        | (none)               | closed  | 4     | whole     |
        | (none)               | chunks  | -     | whole     |
        | (none)               | no body | -     | whole     |

    Scenario Outline: The end of any other answer decides whether it is whole
      When a body ends as <end>
      Then the answer counts as <counts>

      Examples:
        | end       | counts    |
        | length    | whole     |
        | chunks    | whole     |
        | no body   | whole     |
        | closed    | whole     |
        | broken    | not whole |
        | abandoned | not whole |

  Rule: A caller sees that an answer has been broken off

    Background:
      Given a store with a configuration
      And plain upstreams "reg-1" and "reg-2"
      And engines "eng-1" and "eng-2"
      And a direct router

    Scenario: A stream without framing that ends inside an event is not complete
      # Guards against a broken-off stream that its caller takes for complete.
      Given the next upstream cut without framing
      When a caller requests a non-resumable stream
      Then the caller's answer is aborted
      And exactly one upstream received the request

    Scenario: A stream in chunks that ends inside an event is not complete
      # Guards against a last chunk that is taken for the end of the last event.
      Given the next upstream framed to an end inside an event
      When a caller requests a non-resumable stream
      Then the caller's answer is aborted
      And exactly one upstream received the request

    Scenario Outline: A resumable stream that ends inside an event goes on
      # Guards against a broken-off stream that no upstream continues, and
      # against its partial event in the answer.
      Given the next upstream <behaves>
      When a caller asks a model
      Then the answer is 200 with all events once and in order
      And the second engine received the id of the last event

      Examples:
        | behaves                          |
        | cut without framing              |
        | framed to an end inside an event |

    Scenario: A stream whose continuation is broken off is aborted
      # Guards against a continuation whose end is not checked.
      Given the next upstream cut without framing
      And the next upstream cut without framing
      When a caller asks a model
      Then the caller's answer is aborted

    Scenario: A document does not complete a stream that has begun
      # Guards against a document among events, which is taken for their end.
      Given the next upstream cut
      And the next upstream answers with a document
      When a caller asks a model
      Then the caller's answer is aborted

    Scenario: A run without framing goes on from its copy
      # Guards against a broken-off run that is not continued from its copy.
      Given engines that copy the KV cache of runs
      And the next upstream cut without framing
      When a caller requests a non-resumable stream
      Then the answer is 200 with all events once and in order
      And one engine ran the request and the other continued it

    Scenario: A stream without framing and without events is not complete
      # Guards against an empty stream that passes for a whole one.
      Given the next upstream empty without framing
      When a caller asks a model
      Then the answer is 200 with all events once and in order

    Scenario: An answer without framing whose connection is reset is retried
      # Guards against the part before a reset that passes for the whole.
      Given the next upstream reset without framing
      When a caller fetches a record
      Then the answer is 200 with the whole body and its proof

    Scenario: An answer without framing that is reset is not passed on
      # Guards against the part before a reset that passes for the whole.
      Given the next upstream reset without framing
      When a caller orders a certificate
      Then the answer is 502
      And exactly one upstream ran the request

    Scenario: A caller that can't read chunks sees that a stream is broken off
      # Guards against the close of a connection that ends both a whole stream
      # and an aborted one.
      Given the next upstream cut without framing
      When a caller with HTTP/1.0 requests a non-resumable stream
      Then it gets no answer

    Scenario: A caller that can't read chunks gets a whole stream
      # Guards against a whole stream whose end its caller can't see.
      When a caller with HTTP/1.0 requests a non-resumable stream
      Then it gets all events and their length

  Rule: An answer without framing that is whole still arrives whole

    Background:
      Given a store with a configuration
      And plain upstreams "reg-1" and "reg-2"
      And engines "eng-1" and "eng-2"
      And a direct router

    Scenario Outline: A whole stream without framing is complete
      # Guards against whole streams that are taken for broken off.
      Given engines whose lines end with <line end>
      And the next upstream unframed
      When a caller requests a non-resumable stream
      Then the answer is 200 with the events as the engine sent them

      Examples:
        | line end |
        | LF       |
        | CR LF    |
        | CR       |

    Scenario: Events of a stream without framing are forwarded at once
      # Guards against a stream that is held back until its end is known.
      Given the next upstream stalls without framing
      When a caller reads the first event of a stream and leaves
      Then it got the first event before the stream ended
