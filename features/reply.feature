Feature: Answers go out to the caller as they come

  # Symptom: the first token of a stream reached its caller with the second,
  # one engine step or up to 40 ms late.
  # Sequence: the head of the answer goes out, then the first token in a
  # packet of its own; the caller's kernel delays its confirmation of the
  # head, having nothing to send itself.
  # Cause: tornado leaves Nagle's algorithm on, which holds a small packet
  # back until the one before is confirmed.
  Scenario: No token waits for the confirmation of the bytes before it
    Given a caller on a kept connection that had an answer before
    When it is sent a stream of the pieces one, two and three
    Then the socket sends small pieces at once while the stream lasts

  Scenario Outline: A stream reads the same in each version of HTTP
    Given a caller that speaks <version>
    When it is sent a stream of the pieces one, two and three
    Then it reads "<body>"

    Examples:
      | version  | body                                             |
      | HTTP/1.1 | 3\r\none\r\n3\r\ntwo\r\n5\r\nthree\r\n0\r\n\r\n |
      | HTTP/1.0 | onetwothree                                      |

  Scenario: A piece of no bytes does not end a stream
    Given a caller that speaks HTTP/1.1
    When it is sent a stream of the pieces one, nothing and two
    Then it reads "3\r\none\r\n3\r\ntwo\r\n0\r\n\r\n"

  Scenario: A large piece reaches a slow caller whole
    Given a caller that speaks HTTP/1.0 and reads late
    When it is sent a stream of 64 pieces of 65536 bytes
    Then it reads 4194304 bytes in the order sent
