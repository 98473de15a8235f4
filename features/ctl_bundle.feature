@slow
Feature: Operators edit, sign, roll and roll back bundles with lacewingctl

  Scenario: A bundle is created, rolled and rolled back
    Given a platform over HTTP and the operators "ana, bob" with keys
    And two processes that follow the platform
    When "ana" runs "bundle new draft.json"
    And teams, services and models are added to the draft "draft.json"
    And "ana" runs "bundle validate draft.json"
    Then it ends with 0 and prints "valid"
    When "ana" runs "bundle roll draft.json"
    Then it ends with 6 and warns "nobody signed it off"
    When "ana" runs "bundle sign draft.json"
    Then it ends with 0 and prints "signed off by ana as author"
    When "ana" runs "bundle roll draft.json --fleet fleet.json"
    Then it ends with 0 and prints "2 of 2 processes confirm"
    When "bob" runs "bundle edit bobs.json --set teams.team-0.share=4"
    And "bob" runs "bundle diff bobs.json"
    Then it ends with 0 and prints "teams.team-0.share: 1.0 -> 4.0"
    When "bob" runs "bundle sign bobs.json"
    And "bob" runs "bundle roll bobs.json"
    Then it ends with 0 and prints "roll 2"
    When "ana" runs "bundle rollback 1"
    Then it ends with 0 and prints "roll 3"
    When "ana" runs "bundle history --json"
    Then it ends with 0
    And its JSON output has 3 rows
    When "ana" runs "bundle show --number 2"
    Then it ends with 0 and prints "(hidden)"
    When "bob" runs "audit --limit 0"
    Then it ends with 0 and prints "roll-back"

  Scenario: A conflict, lost answers and a repeated roll
    Given a platform over HTTP and the operators "ana, bob" with keys
    And "ana" has rolled a first bundle from "draft.json"
    When "bob" runs "bundle edit bobs.json --set teams.team-0.share=4"
    And "bob" runs "bundle sign bobs.json"
    And "ana" runs "bundle edit draft.json --set teams.team-0.share=5"
    And "ana" runs "bundle sign draft.json"
    And the next 4 answers of the platform are lost
    And "ana" runs "bundle roll draft.json"
    Then it ends with 0 and prints "roll 2"
    When "ana" runs "bundle roll draft.json"
    Then it ends with 0 and warns "took effect as roll 2 before"
    When "bob" runs "bundle roll bobs.json"
    Then it ends with 7 and warns "roll 2 by 'ana'"
    And it ends with 7 and warns "teams.team-0.share: 5.0 -> 4.0"
    When "bob" runs "audit --json --limit 0"
    Then it ends with 0 and prints "conflict"

  Scenario: Processes that do not confirm are named
    Given a platform over HTTP and the operators "ana, bob" with keys
    And "ana" has rolled a first bundle from "draft.json"
    And two processes, one of them stuck at roll 1
    When "ana" runs "bundle edit draft.json --set teams.team-0.share=5"
    And "ana" runs "bundle sign draft.json"
    And "ana" runs "bundle roll draft.json --fleet fleet.json --wait-s 0.1"
    Then it ends with 9 and prints "1 of 2 processes confirm"
    And it ends with 9 and warns "router-2 has roll 1"

  Scenario: A roll reuses no number after the platform is restored
    # The platform is restored from a snapshot of roll 1 while roll 45 is
    # active at the fleet, so the next roll gets number 2 and takes effect at
    # the platform only. A higher number was accepted as confirmation, so the
    # operator was told that all processes confirm.
    Given a platform over HTTP and the operators "ana, bob" with keys
    And "ana" has rolled a first bundle from "draft.json"
    And two processes, one of them stuck at roll 45
    When "ana" runs "bundle edit draft.json --set teams.team-0.share=5"
    And "ana" runs "bundle sign draft.json"
    And "ana" runs "bundle roll draft.json --fleet fleet.json --wait-s 0.1"
    Then it ends with 9 and warns "router-2 has roll 45, a later one"
    When "ana" runs "bundle edit draft.json --set teams.team-0.share=6"
    And "ana" runs "bundle sign draft.json"
    And the next 4 answers of the platform are lost
    And "ana" runs "bundle roll draft.json --above 45"
    Then it ends with 0 and prints "roll 46"
    When "bob" runs "bundle edit bobs.json --set policies.separate_approver=true"
    And "bob" runs "bundle sign bobs.json"
    And "bob" runs "bundle roll bobs.json"
    Then it ends with 0 and prints "roll 47"
    When "bob" runs "audit --limit 0"
    Then it ends with 0 and prints "roll 46"

  Scenario: The active policy requires a separate approver
    Given a platform over HTTP and the operators "ana, bob" with keys
    And "ana" has rolled a first bundle from "draft.json"
    When "ana" runs "bundle edit draft.json --set policies.separate_approver=true"
    And "ana" runs "bundle sign draft.json"
    And "ana" runs "bundle roll draft.json"
    And "ana" runs "bundle edit draft.json --set teams.team-0.share=5"
    And "ana" runs "bundle sign draft.json"
    And "ana" runs "bundle roll draft.json"
    Then it ends with 6 and warns "an approver who is not the author"
    When "bob" runs "bundle sign draft.json"
    Then it ends with 0 and prints "signed off by bob as approver"
    When "ana" runs "bundle roll draft.json"
    Then it ends with 0 and prints "roll 3"

  Scenario: Invalid drafts and invalid usage
    Given a platform over HTTP and the operators "ana, bob" with keys
    When "ana" runs "bundle new draft.json"
    And "ana" runs "bundle edit draft.json --set servces=[]"
    And "ana" runs "bundle validate draft.json"
    Then it ends with 5 and warns "unknown field 'servces' - at `$.servces`; did you mean 'services'?"
    When "ana" runs "bundle edit draft.json --set teams.brno.share=1"
    Then it ends with 2 and warns "no 'brno'"
    When "ana" runs "keys new ana --out ana.key"
    Then it ends with 2 and warns "never overwritten"
    And only the owner can read "ana.key"
    And only the owner can read "draft.json"
    When "ana" runs "bundle rollback 3"
    Then it ends with 1 and warns "no bundle has been rolled yet"
