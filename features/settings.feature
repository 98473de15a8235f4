Feature: The daemon validates its settings before it starts
  An error names the invalid field and the expected value; nothing is started.

  Scenario Outline: --check names the invalid field
    Given settings of a router
    And the field "<field>" is set to <value>
    When lacewingd checks the settings
    Then it exits with code 2
    And the output contains "<named>"
    And the output contains "<expected>"

    Examples:
      | field           | value              | named               | expected              |
      | listen.callers  | "127.0.0.1"        | $.listen.callers    | IP number and a port  |
      | listen.callers  | "entry-1:80"       | $.listen.callers    | IP number and a port  |
      | listen.peers    | "127.0.0.1:70000"  | $.listen.peers      | IP number and a port  |
      | listen.peers    | 7400               | $.listen.peers      | Expected `str`        |
      | listen.callerz  | "127.0.0.1:0"      | $.listen            | unknown field         |
      | role            | "proxy"            | $.role              | Invalid enum value    |
      | log_level       | "chatty"           | $.log_level         | Invalid enum value    |
      | seeds           | ["127.0.0.1"]      | $.seeds[0]          | IP number and a port  |
      | platform        | "127.0.0.1:80"     | $.platform          | expected a URL        |
      | process_id      | ""                 | $.process_id        | expected a name       |
      | drain_s         | 0                  | $.drain_s           | seconds above 0       |
      | bundle_file     | "absent.json"      | $.bundle_file       | No such file          |
      | root_operators  | [{"name": "ana", "public_key": "ab"}] | $.root_operators[0].public_key | lacewingctl keys new |
      | root_operators  | [{"name": "", "public_key": ""}]      | $.root_operators[0].name       | a name of its own    |
      | role            | "agent"            | $.worker            | url and service       |

  Scenario: --check accepts valid settings
    Given settings of a router
    When lacewingd checks the settings
    Then it exits with code 0
    And the output contains "settings are valid"

  Scenario: --check names the invalid field of the bundle
    Given settings of a router
    And a bundle file with {"teams": [{"name": "brno", "key": "x"}]}
    When lacewingd checks the settings
    Then it exits with code 2
    And the output contains "$.teams[0]"

  Scenario: A missing settings file is named
    When lacewingd checks the settings file "absent.json"
    Then it exits with code 2
    And the output contains "absent.json"

  Scenario: A listener that other hosts can reach requires TLS
    Given settings of a router
    And the field "listen.callers" is set to "0.0.0.0:0"
    When lacewingd checks the settings
    Then it exits with code 2
    And the output contains "$.listen.callers"
    And the output contains "expected TLS"

  Scenario: A listener that other hosts can reach may omit TLS if allowed
    Given settings of a router
    And the field "listen.callers" is set to "0.0.0.0:0"
    And the field "allow_plain" is set to true
    When lacewingd checks the settings
    Then it exits with code 0

  Scenario: TLS files that cannot be read are named
    Given settings of a router
    And the field "tls" is set to {"certificate": "c", "key": "k", "authority": "a"}
    When lacewingd checks the settings
    Then it exits with code 2
    And the output contains "$.tls.certificate"
