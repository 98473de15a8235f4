Feature: Hostile bytes reach no caller and end no router

  Inputs are made from fixed seeds, so that each run is the same.

  Scenario: A stream gives the same events however it is cut into pieces
    When 300 streams of events are cut at random places
    Then each gives its events whole and in order

  Scenario: Spoilt answers of an upstream are never taken for good ones
    # Symptom: a caller gets a part of an answer, or another's, as its own.
    # Sequence: an upstream spoils bytes of its answers anywhere, breaks them
    #   off or sends more than one.
    # Cause: an answer was taken for whole that did not prove it.
    When 150 answers come that are spoilt at random places
    Then a success is the whole body, or differs from it by what was spoilt
    And no attempt is left without an end

  Scenario: Spoilt answers of the store are errors
    When 300 answers of the store are spoilt at random places
    Then each of them is a value or an error, and none ends the reader
