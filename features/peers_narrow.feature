Feature: Documents that arrive slowly from peers

  Scenario: A large part on a narrow link arrives in the end
    # Symptom: a process serves by an old bundle or plan for good.
    # Sequence: a part takes longer on a narrow link than the time allowed
    #   for a call; each fetch is given up and begins anew.
    # Cause: one limit on the whole of a transfer, whatever its size.
    Given a peer that offers a document with a part of 4000000 bytes
    And a link of 625000 bytes a second
    When the offer is heard 3 times
    Then the document is held
    And the calls were given 3, 3, 6, 6, 12 and 12 s at most

  Scenario: Parts that came are not fetched again
    # Symptom: links are full of a document that never arrives.
    # Sequence: calls to a peer fail now and then; each failure throws away
    #   what the calls before it brought.
    # Cause: a fetch that failed began with the first part.
    Given a peer that offers a document with 6 parts of 200000 bytes
    And every fourth call to it fails
    When the offer is heard 4 times
    Then the document is held
    And each part came once
