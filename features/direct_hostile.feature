Feature: Corrupted data reaches no caller and stops no router

  Inputs are generated from fixed seeds, so that each run is the same.

  Scenario: A stream returns the same events however it is split
    When 300 event streams are split at random positions
    Then each returns its events complete and in order

  Scenario: Corrupted responses of an upstream are not accepted as valid
    # Guards against passing a caller a partial response, or one to another
    # request. An upstream corrupts bytes anywhere in its responses, truncates
    # them or sends more than one. A response without proof that it is complete
    # was accepted as complete.
    When 150 responses are corrupted at random positions
    Then a successful response differs from the body by corrupted bytes only
    And every attempt ends

  Scenario: Corrupted responses of the store are errors
    When 300 responses of the store are corrupted at random positions
    Then each of them yields a value or an error, and no reader ends

  Scenario Outline: A malformed number in a header counts as absent
    # Guards against requests and answers that are lost because of one number,
    # and against a negative size that makes a full engine look free.
    When a caller or upstream sends "<header>" with "<value>"
    Then it is read as <result>

    Examples: Callers
      | header                   | value   | result |
      | Deadline-Ms              | nan     | None   |
      | Deadline-Ms              | inf     | None   |
      | Deadline-Ms              | -5      | None   |
      | Deadline-Ms              | 1500.5  | 1.5005 |
      | Token-Usage              | nan,5   | 0      |
      | Token-Usage              | -900,5  | 0      |
      | Token-Usage              | 1e300,5 | 0      |
      | Token-Usage              | 1460,80 | 1460   |
      | Length-Hint              | inf     | 80     |
      | Length-Hint              | 12.4    | 12     |
      | Prompt-Prefix            | a1:nan  | 0      |
      | Prompt-Prefix            | a1:-7   | 0      |

    Examples: Upstreams
      | header                   | value       | result |
      | Weight-Versions          | nan         | None   |
      | Weight-Versions          | inf         | None   |
      | Weight-Versions          | -3          | None   |
      | Weight-Versions          | 3           | 3      |
      | Weight-Versions          | 3.7         | None   |
      | Weight-Versions          | ²           | None   |
      | Server-Load              | 1,2,4       | 2      |
      | Server-Load              | 1, 2, 4     | 2      |
      | Server-Load              | 1,-2,4      | None   |
      | Server-Load              | 1,+2,4      | None   |
      | Server-Load              | 1,2_0,4     | None   |
      | Server-Load              | 1,²,4       | None   |
      | Server-Load              | 1,1e3,4     | None   |
      | Server-Load              | 1,1234567890,4 | None |
      | Keep-Alive               | timeout=nan | None   |
      | Keep-Alive               | timeout=-3  | None   |
      | Keep-Alive               | timeout=5   | 5.0    |

  Scenario Outline: A connection that is to be closed is not used again
    # Guards against a request that is lost on a connection whose upstream
    # closes it, and says so in a list of options.
    When a caller or upstream sends "Connection" with "<value>"
    Then it is read as <closes>

    Examples:
      | value      | closes |
      | close      | True   |
      | Close      | True   |
      | te, close  | True   |
      | close , te | True   |
      | keep-alive | False  |
      | closed     | False  |

  Scenario Outline: A version of weights may have many digits
    # Guards against an engine whose newer weights its router never learns.
    When a caller or upstream sends "Weight-Versions" with "<value>"
    Then it is read as <value>

    Examples:
      | value               |
      | 1764800000000       |
      | 9007199254740993    |
      | 9223372036854775807 |

  Scenario Outline: The id of an event is any text
    # Guards against a stream that starts again, as its caller's last id
    # counted as absent.
    When a caller or upstream sends "Last-Event-Id" with "<value>"
    Then it is read as <value>

    Examples:
      | value         |
      | nan           |
      | 12            |
      | 0012          |
      | -12           |
      | 12.0          |
      | 1764800000000 |
      | a b, c        |
      | ²             |
