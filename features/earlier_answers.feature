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
