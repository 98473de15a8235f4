Feature: Documents with hostile values end no reader

  One or two values of a valid document are replaced: by numbers of thousands of
  digits, numbers that are not finite or negative, other types, control characters,
  lone surrogates, texts of 70,000 characters, deep nesting or repeated fields.

  Scenario Outline: A document of the store, an upstream or another router
    # Guards against a task that ends because a reader fails with an error that
    # is not its declared one, or because what was read can't be applied.
    When 250 documents of kind "<kind>" have hostile values
    Then each is applied, or refused with the declared error

    Examples:
      | kind             |
      | upstream         |
      | weights          |
      | configuration    |
      | report           |
      | page             |
      | changes          |
      | object           |
      | crash            |
      | software         |
      | lease            |
      | router           |

  Scenario Outline: A document that agents and the command line read
    When 250 documents of kind "<kind>" have hostile values
    Then each is applied, or refused with the declared error

    Examples:
      | kind          |
      | settings      |
      | direct        |
      | audit         |
      | document head |
      | event         |
      | etag          |

  Scenario Outline: A message of another router
    # Guards against a call between routers that ends the task of a router, or
    # leaves it in a state that the next step can't bear.
    When 250 messages of kind "<kind>" have hostile values
    Then each is applied, or refused with the declared error

    Examples:
      | kind             |
      | tokens           |
      | crash report     |
      | crash comparison |
      | probe            |
      | stream records   |
      | stream question  |
      | loads            |
