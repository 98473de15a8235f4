Feature: Bundles that are signed off by listed operators

  Scenario: A signed bundle is used
    Given a bundle by the operators "ana, bob"
    When "ana" signs and rolls it
    Then the process uses roll 1
    When the share of a team becomes 2
    And "bob" signs as "author"
    And "ana" rolls it
    Then the process uses roll 2

  Scenario: An edit invalidates the sign-off
    # Guards against activating contents that nobody reviewed: a signed file is
    # edited and rolled, and the sign-off does not cover the contents.
    Given a bundle by the operators "ana, bob"
    When "ana" signs as "author"
    And the share of a team becomes 2
    And "ana" rolls it
    Then the process refuses it: "sign it again"

  Scenario: A bundle without a sign-off is refused
    Given a bundle by the operators "ana, bob"
    When "ana" rolls it
    Then the process refuses it: "nobody signed it off"

  Scenario: An unlisted operator signs and rolls
    # Guards against signatures that are only checked for validity, not for the
    # signer: a person who is no operator signs with a key of her own, or rolls
    # what an operator signed.
    Given a bundle by the operators "ana, bob"
    When "eve" signs and rolls it
    Then the process refuses it: "signed off by 'eve'; the operators in force are: ana, bob"

  Scenario: An unlisted operator rolls a bundle that an operator signed
    Given a bundle by the operators "ana, bob"
    When "ana" signs as "author"
    And "eve" rolls it
    Then the process refuses it: "rolled by 'eve'"

  Scenario: Author and approver must differ
    Given a bundle by the operators "ana, bob"
    And the policy requires a separate approver
    When "ana" signs and rolls it
    Then the process uses roll 1
    When the share of a team becomes 2
    And "ana" signs as "author"
    And "ana" signs as "approver"
    And "ana" rolls it
    Then the process refuses it: "an approver who is not the author"
    When "bob" signs as "approver"
    And "ana" rolls it
    Then the process uses roll 2

  Scenario: A bundle cannot disable the active policy for itself
    # Guards against checking a bundle by its own policy: one person could turn
    # the two-person policy off in a bundle that she alone signs.
    Given a bundle by the operators "ana, bob"
    And the policy requires a separate approver
    When "ana" signs and rolls it
    And the policy no longer requires an approver
    And "ana" signs and rolls it
    Then the process refuses it: "an approver who is not the author"

  Scenario: One key under two names is refused
    Given a bundle by the operators "ana, bob"
    When "bob" is listed with the key of "ana"
    And the operators become "ana, bob"
    And "ana" signs and rolls it
    Then the process refuses it: "duplicate: the key of 'ana'"

  Scenario: A peer can neither renumber nor change a bundle
    # Guards against a signature that does not cover the number: a peer
    # forwards a bundle under a higher number, and the process reports a number
    # that nobody rolled and refuses all later ones.
    Given a bundle by the operators "ana, bob"
    When "ana" signs and rolls it
    And a peer offers it under the number 1000
    Then the process refuses it: "the signed number is 1"
    When a peer offers it with one byte of a part changed
    Then the process refuses it: "the parts do not match"

  Scenario: A new process verifies rotated keys from the root
    Given a bundle by the operators "ana, bob"
    And the root operators are the current operators
    When "ana" signs and rolls it
    And roll 1 is recorded
    And the operators become "bob, cleo"
    And "cleo" signs and rolls it
    Then the process refuses it: "signed off by 'cleo'"
    When the sign-offs are dropped
    And "bob" signs and rolls it
    Then the process uses roll 2
    When the operators become "cleo, dan"
    And "cleo" signs and rolls it
    Then the process uses roll 3
    When a new process starts
    Then the process uses roll 3

  Scenario Outline: Settings may list later root operators
    # Guards against a proof that can only be verified with the initial
    # settings: the key that signed the first bundle is stolen, revoked and
    # removed from the settings, and processes that start refuse every bundle.
    Given a bundle by the operators "ana, bob"
    When "ana" signs and rolls it
    And the operators become "bob, cleo"
    And "bob" signs and rolls it
    And the operators become "cleo, dan"
    And "cleo" signs and rolls it
    And the share of a team becomes 3
    And "dan" signs and rolls it
    Then the process uses roll 4
    When a new process starts with the root operators "<root>"
    Then the process <does>

    Examples:
      | root      | does                                                              |
      | ana       | uses roll 4                                                       |
      | bob       | uses roll 4                                                       |
      | cleo      | uses roll 4                                                       |
      | dan       | uses roll 4                                                       |
      | eve       | refuses it: "signed off by 'dan'; the operators in force are: eve" |

  Scenario Outline: Old operator changes can be dropped from the proof
    # Guards against a proof that always starts with the first bundle: with
    # years of key rotation, heads would grow without limit at each process and
    # each roll.
    Given a bundle by the operators "ana, bob"
    When "ana" signs and rolls it
    And the operators become "bob, cleo"
    And "bob" signs and rolls it
    And the operators become "cleo, dan"
    And "cleo" signs and rolls it
    And the operator changes before roll 3 are dropped
    And "dan" signs and rolls it
    Then the process uses roll 4
    And its proof has 1 operator change
    When "cleo" signs and rolls it
    Then the process uses roll 5
    When a new process starts with the root operators "<root>"
    Then the process <does>

    Examples:
      | root | does                               |
      | cleo | uses roll 5                        |
      | dan  | refuses it: "signed off by 'cleo'" |
      | ana  | refuses it: "signed off by 'cleo'" |

  Scenario: A replaced root keeps the active policy
    Given a bundle by the operators "ana, bob"
    And the policy requires a separate approver
    When "ana" signs and rolls it
    And the share of a team becomes 3
    And "ana" forges roll 2 alone
    And a new process with the root operators "ana, bob" receives it
    Then the process refuses it: "an approver who is not the author"

  Scenario: A revoked key can no longer sign
    # Guards against checking a proof by itself, not against the trust changes
    # that the process has seen: the holder of a stolen key rolls a bundle with
    # a higher number and a proof that ends before the revocation.
    Given a bundle by the operators "ana, bob"
    When "ana" signs and rolls it
    And roll 1 is recorded
    And the operators become "bob, cleo"
    And "bob" signs and rolls it
    And "ana" signs and rolls it
    Then the process refuses it: "signed off by 'ana'"
    When "ana" forges roll 9 from the proof of roll 1
    Then the process refuses it: "leaves out a change of operators"

  Scenario: A valid bundle has no problems
    Given a bundle by the operators "ana, bob"
    When the text of the bundle is checked
    Then there are no problems

  Scenario Outline: A problem is reported with its path
    Given a bundle by the operators "ana, bob"
    When "<path>" is set to <value>
    And the text of the bundle is checked
    Then a problem at "<at>" says "<says>"
    And only the path "<at>" has problems

    Examples:
      | path                                   | value                       | at                              | says                             |
      | teamz                                  | []                          | $.teamz                         | did you mean 'teams'?            |
      | teams.team-1.limits.request_per_s      | 5                           | $.teams[1].limits.request_per_s | did you mean 'requests_per_s'?   |
      | teams.team-1.share                     | "big"                       | $.teams[1].share                | Expected `float`, got `str`      |
      | teams.team-1.share                     | 0                           | $.teams[1].share                | expected a number above 0        |
      | teams.team-1.limits.tokens_per_s       | -1                          | $.teams[1].limits.tokens_per_s  | expected 0 or more               |
      | teams.team-1.services                  | ["registri"]                | $.teams[1].services[0]          | did you mean 'registry'?         |
      | teams.team-1.services                  | ["registry", "registry"]    | $.teams[1].services[1]          | duplicate: 'registry'            |
      | teams.team-1.name                      | "team-0"                    | $.teams[1].name                 | duplicate: 'team-0' is also      |
      | teams.team-1.name                      | ""                          | $.teams[1].name                 | expected a name                  |
      | teams.team-1.key_hashes                | []                          | $.teams[1].key_hashes           | at least one key                 |
      | teams.team-1.key_hashes                | ["secret"]                  | $.teams[1].key_hashes[0]        | a SHA-256 as 64 hex digits       |
      | services.diagnostic.kind               | "modell"                    | $.services[0].kind              | Invalid enum value 'modell'      |
      | services.diagnostic.first_token_ms     | 0                           | $.services[0].first_token_ms    | expected a number above 0        |
      | services.diagnostic.weights            | {"tail": -1}                | $.services[0].weights.tail      | expected 0 or more               |
      | services.registry.models               | ["motor"]                   | $.services[1].models            | no models of a service of kind   |
      | services.registry.at_most_once_paths   | ["recalls"]                 | $.services[1].at_most_once_paths[0] | did you mean '/recalls'?     |
      | models.motor.weights                   | ""                          | $.models[0].weights             | expected a version               |
      | models.motor.weights_gb                | 20                          | $.models[0].weights             | no worker can hold the version 'w1': it needs 20 GB, the largest worker has 16 GB |
      | models.motor.adapters.recall.adapter_gb | 3                          | $.models[0].adapters[0].version | no worker can hold the version 'a1': with its model it needs 17 GB |
      | models.motor.adapters.recall.version   | ""                          | $.models[0].adapters[0].version | expected a version               |
      | prefix_secret                          | "xyz"                       | $.prefix_secret                 | hex digits                       |
      | operators                              | []                          | $.operators                     | nobody could sign                |
      | operators.bob.public_key               | "ab"                        | $.operators[1].public_key       | Ed25519 key as 64 hex digits     |

  Scenario: A model that no service lists fits into no worker
    Given a bundle by the operators "ana, bob"
    When "services.diagnostic.models" is set to []
    And the text of the bundle is checked
    Then a problem at "$.models[0]" says "no worker can hold the model 'motor'"
    And a problem at "$.services[0].models" says "expected a model"

  Scenario: A misspelt model and the unused model are both reported
    Given a bundle by the operators "ana, bob"
    When "services.diagnostic.models" is set to ["moter"]
    And the text of the bundle is checked
    Then a problem at "$.services[0].models[0]" says "did you mean 'motor'?"
    And a problem at "$.models[0]" says "no worker can hold the model 'motor'"

  Scenario: A key shared by two teams is reported
    Given a bundle by the operators "ana, bob"
    When the second team gets the key of the first
    And the text of the bundle is checked
    Then a problem at "$.teams[1].key_hashes[0]" says "duplicate: the key of team 'team-0'"

  Scenario: All problems are reported, not only the first
    Given a bundle by the operators "ana, bob"
    When "teams.team-0.share" is set to -1
    And "teams.team-1.services" is set to ["registri"]
    And "prefix_secret" is set to "xyz"
    And the text of the bundle is checked
    Then a problem at "$.teams[0].share" says "above 0"
    And a problem at "$.teams[1].services[0]" says "registry"
    And a problem at "$.prefix_secret" says "hex"

  Scenario: The parts of 2,500 teams are small, and an edit changes one
    # Guards against storing a bundle as one value: an edit of one team of many
    # would send half a megabyte to each process, or the bundle would be too
    # large for the platform.
    Given a bundle of 2500 teams
    When the share of a team becomes 9
    Then each part is smaller than 20000 bytes
    And 1 part has changed

  Scenario: The order of the JSON text does not change the digest
    Given a bundle of 50 teams
    When the teams are reversed
    Then 0 parts have changed

  Scenario: Checking only changed parts equals a full check
    # Guards against treating unchanged parts as valid although the objects
    # that they refer to changed: a service is removed, teams in unchanged
    # parts still list it, and only processes that have just started refuse the
    # bundle.
    Given a bundle of 120 teams
    When 300 random edits, valid and invalid, are read in sequence
    Then a reader with cached parts agrees each time with a new reader and the full check
    And some of them were refused, but not all

  Scenario Outline: Parts have one canonical order and encoding
    # Guards against two digests of one bundle, one signed and one not: a part
    # is encoded differently and read without comparing it with the canonical
    # bytes.
    Given a bundle of 120 teams
    When its parts are <changed>
    Then joining them is refused

    Examples:
      | changed         |
      | spaced          |
      | swapped         |
      | repeated        |
      | in wrong bucket |
      | emptied         |
      | cut short       |
