Feature: Software versions are known after all routers were killed

  Background:
    Given a store with a configuration
    And routers that call each other

  Rule: The store keeps the versions that may have begun streams

    Background:
      Given an engine "eng-1" of software "v1"
      And a system that starts for the first time

    Scenario: A stream goes on after all routers were killed
      # Guards against streams that are refused for half a minute after a loss
      # of power, as no router has observed the versions before it.
      Given 2 routers that know each other
      And the store has the versions "v1"
      And a caller that read the first event of a stream at router 1
      And all routers are killed
      And a router that starts later
      When it takes the stream up at router 3 with no Resumes
      Then the answer is 200 with the events after the first one

    Scenario: Another version left before all routers were killed
      # Guards against streams that go on at another version: the one that
      # began them has left unseen by the routers that run now.
      Given an engine "eng-2" of software "v2"
      And 2 routers that know each other
      And the store has the versions "v1, v2"
      And "eng-2" has left
      And all routers are killed
      And a router that starts later
      When it takes the stream up at router 3 with no Resumes
      Then it was refused within 1.0 s

    Scenario: Routers start again with the settings of the first start
      # Guards against streams that go on at another version: a restarted
      # router took the versions that it saw for those of all time.
      Given an engine "eng-2" of software "v2"
      And 2 routers that know each other
      And the store has the versions "v1, v2"
      And "eng-2" has left
      And all routers are killed
      And a router that starts again with the same settings
      When it takes the stream up at router 3 with no Resumes
      Then it was refused within 1.0 s
      And the store has the versions "v1, v2"

    Scenario: A version appears later
      # Guards against a record that lacks a version that began streams.
      Given 2 routers that know each other
      And the store has the versions "v1"
      When an engine "eng-2" of software "v2" appears
      Then the store has the versions "v1, v2"

  Rule: What can't be known is not taken for known

    Scenario Outline: The record is missing or can't be used
      # Guards against versions that are believed without a valid record.
      Given an engine "eng-1" of software "v1"
      And a store whose record of versions is <record>
      And a router that starts later
      When it takes the stream up at router 1 with no Resumes
      Then it was refused within 1.0 s

      Examples:
        | record     |
        | missing    |
        | unreadable |
        | empty      |

    Scenario: A router was disconnected from the store
      # Guards against a record that other routers have changed meanwhile.
      Given recorded versions "v1" of a list that is observed
      When the list is not observed for 4 s
      Then the only version of the last 20 s is unknown
      When the list is observed again and the record has "v1, v2"
      Then the only version of the last 20 s is unknown
      When the list is not observed for 4 s
      And the list is observed again and the record has "v1"
      Then the only version of the last 20 s is "v1"

    Scenario: Writes fail
      # Guards against a version that is never recorded after a failed write.
      Given recorded versions "v1" of a list that is observed
      And a store that fails the next 2 writes
      When an upstream of software "v2" is observed for 5 s
      Then the record has the versions "v1, v2"

    Scenario Outline: Reads fail as the system starts for the first time
      # Guards against a first start that is believed after a time in which
      # versions may have come and gone, or no more once a read failed.
      Given a first start whose first 1 reads of records fail
      When records are updated with a list of age <ages>
      Then the versions of all time are <known>

      Examples:
        | ages      | known   |
        | 0, 0      | known   |
        | 0, 4, 0   | unknown |
        | 0         | unknown |
