Feature: Settings of a direct router are checked

  Scenario Outline: The error names the invalid field and what is expected
    When settings of a direct router have <value> at <field>
    Then they are refused with "<message>"

    Examples:
      | field          | value     | message                                 |
      | callers        | "here"    | at `$.callers`                          |
      | platform       | ""        | at `$.platform`                         |
      | metrics        | "1.2.3.4" | at `$.metrics`                          |
      | bounds.drain_s | -1        | expected a number of at least 0, got -1 |
      | bounds.drain_s | "soon"    | $.bounds.drain_s                        |
      | log_level      | "loud"    | $.log_level                             |

  Scenario: The template for the platform renders to valid settings
    When the template is filled with the fields that the platform provides
    Then the settings are valid and have the platform's bounds in seconds

  Scenario: The template passes on the bounds of limits where there are any
    When the template is filled on a platform that limits teams
    Then the settings have the bounds of limits
