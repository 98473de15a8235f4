@alone
Feature: Callers that do not behave cannot take an agents' router's memory

  A fleet whose router has a VM with 100 MB and 300 descriptors.

  Background:
    Given a fleet with a router of a VM with 100 MB and 300 descriptors

  Scenario: Bodies for agents whose last byte never comes
    # Guards against bodies that are each bounded, but not all together.
    When 40 callers of the fleet withhold the last byte of 4190000
    Then the fleet's router lives within its VM
    And an ordinary request of the fleet is answered

  Scenario: Connections to an agents' router that send nothing
    # Guards against callers that take all descriptors.
    When 400 callers of the fleet send nothing
    Then the fleet's router lives within its VM
    And an ordinary request of the fleet is answered
