Feature: One bundle, signed off by named operators

  Scenario: A signed bundle is used
    Given a bundle by the operators "ana, bob"
    When "ana" signs and rolls it
    Then the process uses roll 1
    When the share of a team becomes 2
    And "bob" signs as "author"
    And "ana" rolls it
    Then the process uses roll 2

  Scenario: An edit voids the sign-off
    # Symptom: a change that nobody looked at is in force. Sequence: ana signs,
    # the file is edited, it is rolled. Cause: a sign-off that does not cover
    # the contents.
    Given a bundle by the operators "ana, bob"
    When "ana" signs as "author"
    And the share of a team becomes 2
    And "ana" rolls it
    Then the process refuses it: "sign it again"

  Scenario: Nobody signed
    Given a bundle by the operators "ana, bob"
    When "ana" rolls it
    Then the process refuses it: "nobody signed it off"

  Scenario: A stranger signs or rolls
    # Symptom: a person without the right changes the fleet. Sequence: eve signs
    # with a key of her own, or rolls what ana signed. Cause: signatures
    # checked for being valid, not for whose they are.
    Given a bundle by the operators "ana, bob"
    When "eve" signs and rolls it
    Then the process refuses it: "signed off by 'eve'; the operators in force are: ana, bob"

  Scenario: A stranger rolls what an operator signed
    Given a bundle by the operators "ana, bob"
    When "ana" signs as "author"
    And "eve" rolls it
    Then the process refuses it: "rolled by 'eve'"

  Scenario: Author and approver are two persons
    Given a bundle by the operators "ana, bob"
    And the policy asks for a separate approver
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

  Scenario: A bundle cannot excuse itself from the policy in force
    # Symptom: one person changes the fleet alone though the policy asks for
    # two. Sequence: she turns the policy off in the bundle that she signs
    # alone. Cause: a bundle judged by its own policy.
    Given a bundle by the operators "ana, bob"
    And the policy asks for a separate approver
    When "ana" signs and rolls it
    And the policy no longer asks for an approver
    And "ana" signs and rolls it
    Then the process refuses it: "an approver who is not the author"

  Scenario: One key under two names approves nothing
    Given a bundle by the operators "ana, bob"
    When "bob" is listed with the key of "ana"
    And the operators become "ana, bob"
    And "ana" signs and rolls it
    Then the process refuses it: "duplicate: the key of 'ana'"

  Scenario: A peer can neither renumber nor change a bundle
    # Symptom: a process shows a number that nobody rolled and takes no later
    # one. Sequence: a peer passes a bundle on under a higher number. Cause: a
    # signature that leaves the number out.
    Given a bundle by the operators "ana, bob"
    When "ana" signs and rolls it
    And a peer offers it under the number 1000
    Then the process refuses it: "the signed number is 1"
    When a peer offers it with one byte of a part changed
    Then the process refuses it: "the parts do not match"

  Scenario: Keys rotate, and a cold process follows from the root
    Given a bundle by the operators "ana, bob"
    And the root operators are those of now
    When "ana" signs and rolls it
    And that was roll 1
    And the operators become "bob, cleo"
    And "cleo" signs and rolls it
    Then the process refuses it: "signed off by 'cleo'"
    When the sign-offs are dropped
    And "bob" signs and rolls it
    Then the process uses roll 2
    When the operators become "cleo, dan"
    And "cleo" signs and rolls it
    Then the process uses roll 3
    When a cold process starts
    Then the process uses roll 3

  Scenario Outline: Settings may name other root operators than the first
    # Symptom: processes that start refuse every bundle. Sequence: the key that
    # signed the first bundle is stolen, withdrawn, and taken out of the
    # settings. Cause: a proof that the settings of the first day alone open.
    Given a bundle by the operators "ana, bob"
    When "ana" signs and rolls it
    And the operators become "bob, cleo"
    And "bob" signs and rolls it
    And the operators become "cleo, dan"
    And "cleo" signs and rolls it
    And the share of a team becomes 3
    And "dan" signs and rolls it
    Then the process uses roll 4
    When a cold process starts with the root operators "<root>"
    Then the process <does>

    Examples:
      | root      | does                                                              |
      | ana       | uses roll 4                                                       |
      | bob       | uses roll 4                                                       |
      | cleo      | uses roll 4                                                       |
      | dan       | uses roll 4                                                       |
      | eve       | refuses it: "signed off by 'dan'; the operators in force are: eve" |

  Scenario Outline: Old changes of operators can be dropped from the proof
    # Symptom: heads grow with each change of operators, at each process and
    # each roll, for ever. Sequence: operators rotate keys for years. Cause: a
    # proof that always starts with the first bundle.
    Given a bundle by the operators "ana, bob"
    When "ana" signs and rolls it
    And the operators become "bob, cleo"
    And "bob" signs and rolls it
    And the operators become "cleo, dan"
    And "cleo" signs and rolls it
    And the changes of operators before roll 3 are dropped
    And "dan" signs and rolls it
    Then the process uses roll 4
    And its proof has 1 change of operators
    When "cleo" signs and rolls it
    Then the process uses roll 5
    When a cold process starts with the root operators "<root>"
    Then the process <does>

    Examples:
      | root | does                               |
      | cleo | uses roll 5                        |
      | dan  | refuses it: "signed off by 'cleo'" |
      | ana  | refuses it: "signed off by 'cleo'" |

  Scenario: A renewed root keeps the policy in force
    Given a bundle by the operators "ana, bob"
    And the policy asks for a separate approver
    When "ana" signs and rolls it
    And the share of a team becomes 3
    And "ana" forges roll 2 alone
    And a cold process with the root operators "ana, bob" is offered it
    Then the process refuses it: "an approver who is not the author"

  Scenario: A withdrawn key signs nothing more
    # Symptom: the holder of a stolen key rolls bundles after the key was
    # withdrawn. Sequence: the proof stops before the withdrawal and the
    # number is higher. Cause: a proof checked by itself and not against what
    # the process has seen in force.
    Given a bundle by the operators "ana, bob"
    When "ana" signs and rolls it
    And that was roll 1
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

  Scenario Outline: A problem is named with its path
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

  Scenario: A model that no service lists is held by no worker
    Given a bundle by the operators "ana, bob"
    When "services.diagnostic.models" is set to []
    And the text of the bundle is checked
    Then a problem at "$.models[0]" says "no worker can hold the model 'motor'"
    And a problem at "$.services[0].models" says "expected a model"

  Scenario: A misspelt model is named, and so is the one that nobody runs
    Given a bundle by the operators "ana, bob"
    When "services.diagnostic.models" is set to ["moter"]
    And the text of the bundle is checked
    Then a problem at "$.services[0].models[0]" says "did you mean 'motor'?"
    And a problem at "$.models[0]" says "no worker can hold the model 'motor'"

  Scenario: One key of two teams
    Given a bundle by the operators "ana, bob"
    When the second team gets the key of the first
    And the text of the bundle is checked
    Then a problem at "$.teams[1].key_hashes[0]" says "duplicate: the key of team 'team-0'"

  Scenario: All problems are named, not the first alone
    Given a bundle by the operators "ana, bob"
    When "teams.team-0.share" is set to -1
    And "teams.team-1.services" is set to ["registri"]
    And "prefix_secret" is set to "xyz"
    And the text of the bundle is checked
    Then a problem at "$.teams[0].share" says "above 0"
    And a problem at "$.teams[1].services[0]" says "registry"
    And a problem at "$.prefix_secret" says "hex"

  Scenario: The parts of 2,500 teams are small, and an edit changes one
    # Symptom: a change of one team moves half a megabyte to each process, or a
    # bundle is too large for the platform. Sequence: an operator edits one
    # team of many. Cause: a bundle kept as one value.
    Given a bundle of 2500 teams
    When the share of a team becomes 9
    Then each part is smaller than 20000 bytes
    And 1 part has changed

  Scenario: The order of the text does not change the digest
    Given a bundle of 50 teams
    When the teams are reversed
    Then 0 parts have changed

  Scenario: What is checked in part is checked as if in full
    # Symptom: processes differ on one bundle; those that have just started
    # refuse what the others use. Sequence: a service goes, and teams in parts
    # that did not change still name it. Cause: unchanged parts taken as
    # checked although what they refer to changed.
    Given a bundle of 120 teams
    When 300 random edits, right and wrong, are read one after the other
    Then a process that read them all agrees each time with one that starts and with the full check
    And both some and not all of them were refused

  Scenario Outline: Parts have one order and one encoding
    # Symptom: two digests of one bundle, signed and not signed. Sequence: a
    # part is encoded in another way. Cause: parts read without comparing
    # them with what they ought to be.
    Given a bundle of 120 teams
    When its parts are <changed>
    Then they are refused as a bundle

    Examples:
      | changed         |
      | spaced          |
      | swapped         |
      | repeated        |
      | in wrong bucket |
      | emptied         |
      | cut short       |
