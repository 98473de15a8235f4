Feature: A response that is cut off inside its head did not arrive

  A server sends a response up to some byte of its head and then closes or
  resets the connection. libcurl takes what arrived of such a head for the
  whole response, with an empty body.

  Scenario Outline: No cut inside a head leaves a response that counts
    # Guards against a write that counts as acknowledged, an order that counts
    # as carried out and a caller that gets an empty success: a connection
    # closed anywhere after the status line passed as a whole response.
    When <call> gets responses cut off at every byte of their heads
    Then every cut response is reported as one that may have been sent for

    Examples: Through the platform's client
      | call                      |
      | a read of the platform    |
      | a write of the platform   |
      | a removal at the platform |

    Examples: At workers
      | call                          |
      | an exchange with a worker     |
      | an exchange that may run once |
      | an exchange without a body    |
      | a poll of a worker            |
      | a cancellation at a worker    |
      | a read of a worker's orders   |
      | an order to a worker          |

    Examples: At stores of cache
      | call                  |
      | a question to a store |
      | an import of blocks   |
      | an export of blocks   |

    Examples: By operators
      | call                   |
      | a read of operators    |
      | a command of operators |

    Examples: By the bench
      | call                         |
      | a request of a bench caller  |
      | a bench's command            |
      | a fetch of weights           |

    Examples: By direct routers
      | call                           |
      | a request of a direct router   |

  Scenario Outline: A head that arrives whole counts
    # Guards against whole responses reported as cut off, which would be sent
    # for again.
    When <call> gets whole responses, some of them one byte at a time
    Then every whole response is reported as one that arrived

    Examples:
      | call                          |
      | a read of the platform        |
      | a write of the platform       |
      | an exchange with a worker     |
      | an exchange that may run once |
      | an exchange without a body    |
      | a poll of a worker            |
      | a cancellation at a worker    |
      | a read of a worker's orders   |
      | an order to a worker          |
      | a question to a store         |
      | an import of blocks           |
      | an export of blocks           |
      | a read of operators           |
      | a command of operators        |
      | a request of a bench caller   |
      | a bench's command             |
      | a fetch of weights            |
      | a request of a direct router  |

  Scenario Outline: A response without a body ends with its head
    # Guards against waiting for a body, or a lost response, where the status
    # or the method allows none.
    When <call> gets whole responses without a body
    Then every whole response is reported as one that arrived

    Examples:
      | call                          |
      | a read of the platform        |
      | a write of the platform       |
      | a look at the platform        |
      | an exchange with a worker     |
      | an exchange without a body    |

  Scenario Outline: A body that is cut off did not arrive
    # Guards against half a body that counts as a whole one. A body without
    # length and chunks ends with its connection, but not with a reset.
    When <call> gets responses cut off at every byte of their bodies
    Then every cut response is reported as one that may have been sent for

    Examples:
      | call                          |
      | a read of the platform        |
      | a write of the platform       |
      | an exchange with a worker     |
      | a poll of a worker            |
      | a read of operators           |
