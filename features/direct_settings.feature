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
      | contention     | "maybe"   | Invalid enum value 'maybe' - at `$.contention`, expected one of "auto", "on", "off" |
      | contention     | true      | Expected `str`, got `bool` - at `$.contention` |
      | first_start    | "yes"     | Expected `bool`, got `str` - at `$.first_start` |
      | contracts      | "pressure" | Expected `array`, got `str` - at `$.contracts` |
      | contracts      | ["a", 3]  | Expected `str`, got `int` - at `$.contracts[1]` |
      | vm             | {"memory_mb": -1} | Expected `float` >= 0.0 - at `$.vm.memory_mb` |
      | vm             | {"file_descriptors": -1} | Expected `int` >= 0 - at `$.vm.file_descriptors` |
      | caller_limits  | {"memory_share": 1.5} | Expected `float` <= 1.0 - at `$.caller_limits.memory_share` |
      | caller_limits  | {"write_stall_s": 0} | Expected `float` > 0.0 - at `$.caller_limits.write_stall_s` |

  Scenario: The template for the platform renders to valid settings
    When the template is filled with the fields that the platform provides
    Then the settings are valid and have the platform's bounds in seconds
    And the settings have the size of the VM

  Scenario Outline: Contracts set the contention where settings leave it open
    # Guards against a deployment under pressure that is served as usual, and
    # against contracts that override the settings.
    When settings with contention <contention> have the contracts <contracts>
    Then the contention is "<result>"

    Examples:
      | contention | contracts       | result |
      | none       | none            | off    |
      | none       | retry           | off    |
      | none       | retry, pressure | on     |
      | auto       | pressure        | auto   |
      | off        | pressure        | off    |
      | on         | none            | on     |

  Scenario: The template passes on the contracts of the platform
    # Guards against a template without the contracts.
    When the template is filled on a platform with the contracts "retry, pressure"
    Then the contention is "on"

  Scenario Outline: The template passes on whether the system starts first
    # Guards against a template without the first start, or with it always.
    When the template is filled on a platform with the first start <first_start>
    Then the settings have the first start <first_start>

    Examples:
      | first_start |
      | true        |
      | false       |

  Scenario: The template passes on the bounds of limits where there are any
    When the template is filled on a platform that limits teams
    Then the settings have the bounds of limits
