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
