Feature: Readers take any bytes in any cut

  The bytes that upstreams send are drawn at random, with valid parts among
  them, and split at any place.

  Scenario: An answer
    # Guards against bytes that end a reader with an error, and against an
    # answer of which more is held than its bound.
    When an upstream answers with any bytes in any cut
    Then each request ends, and no reader with an error

  Scenario: An event stream
    # Guards against events that depend on how their bytes were cut.
    When a stream of any bytes is split in any cut
    Then its events and their remainder are those bytes, cut after blank lines

  Scenario: A report
    # Guards against a report that ends the holder of the lease.
    When an upstream reports any bytes or any JSON
    Then it is read, or refused as malformed
