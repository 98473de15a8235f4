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
