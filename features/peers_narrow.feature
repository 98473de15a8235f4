Feature: Documents arrive from peers over slow or failing links

  Scenario: A large part eventually arrives over a slow link
    # Guards against a process that keeps an old bundle or plan for good: a
    # part takes longer on a slow link than the timeout of a call, and each
    # fetch restarts with the same timeout, whatever the size of the part.
    Given a peer that offers a document with a part of 4000000 bytes
    And a link of 625000 bytes a second
    When the offer is received 3 times
    Then the document is stored
    And the calls had timeouts of 3, 3, 6, 6, 12 and 12 s

  Scenario: Received parts are not fetched again
    # Guards against links that are saturated by a document that never arrives:
    # calls to a peer fail from time to time, and each failed fetch discards
    # its received parts, so that the next one begins with the first part.
    Given a peer that offers a document with 6 parts of 200000 bytes
    And every fourth call to it fails
    When the offer is received 4 times
    Then the document is stored
    And each part was received once
