Feature: No call takes the answer to an earlier call for its own

  A faulty server sends an answer once more, late: on the same connection,
  where a later answer is expected. These answers do not name their calls.

  Scenario Outline: Answers come once more, at once to 0.4 s later
    # Guards against a write, an order or a poll that counts as done, refused
    # or failed by the answer to an earlier call.
    When <call> is made several times while earlier answers come again
    Then each call learns its own answer

    Examples: the platform
      | call                     |
      | a write of the platform  |
      | a look at the platform   |
      | a removal at the platform |

    Examples: workers
      | call                          |
      | an exchange with a worker     |
      | an exchange that may run once |
      | an exchange without a body    |
      | a poll of a worker            |
      | a cancellation at a worker    |
      | a read of a worker's orders   |
      | an order to a worker          |

    Examples: stores of KV cache blocks
      | call                  |
      | a question to a store |
      | an import of blocks   |
      | an export of blocks   |

    Examples: processes of the system
      | call                   |
      | a read of operators    |
      | a command of operators |

  Scenario Outline: An upstream answers an order or a report twice
    # Guards against an answer that is skipped, so that the one after it is
    # believed: an order that was refused and counts as accepted.
    When an upstream answers <call> with <first>, and up to 0.4 s later with <second>
    Then the router learns <learned> each time

    Examples: orders
      | call     | first                     | second | learned  |
      | an order | a 409                     | a 202  | BUSY     |
      | an order | a 412                     | a 202  | FENCED   |
      | an order | a 500                     | a 202  | UNKNOWN  |
      | an order | a 202                     | a 409  | ACCEPTED |
      | an order | an interim answer         | a 202  | ACCEPTED |
      | an order | bytes that are no answer  | a 202  | UNKNOWN  |
      | an order | an empty line             | a 202  | UNKNOWN  |
      | an order | half a head               | a 202  | UNKNOWN  |
      | an order | a 409 that lacks 3 bytes  | a 202  | BUSY     |
      | an order | a 409 that lacks 99 bytes | a 202  | UNKNOWN  |

    Examples: reports
      | call     | first                     | second        | learned    |
      | a report | report 1                  | report 2      | report 1   |
      | a report | a 500                     | report 2      | no report  |
      | a report | a 200                     | report 2      | no report  |
      | a report | bytes that are no answer  | report 2      | no report  |
      | a report | half a head               | report 2      | no report  |
