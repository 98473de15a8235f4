Feature: An odd entry that stays affects no other entry

  Another writer may leave an entry in any collection that routers read. It is
  nested deeply, has numbers that are too large, or a port out of range.

  Rule: The store's answer is read around it

    Scenario Outline: A list and changes that hold an odd object
      # Guards against a router that stands still for seconds, or that takes
      # what an odd entry holds for another entry or for the end of the list.
      When the store returns an odd object with <oddity> among sound ones
      Then the sound objects are read, the odd one only by its name
      And each answer takes less than 1 s of processor time

      Examples:
        | oddity                            |
        | 20000 levels of "Metadata"        |
        | 20000 levels of "Object"          |
        | 20000 levels of "Removed"         |
        | 20000 levels of "items"           |
        | 20000 levels of lists             |
        | 20000 levels that are not closed  |
        | a copy of a sound object          |
        | a copy of a list                  |
        | a name that is escaped            |
        | a revision of 5000 digits         |
        | an end that is missing            |
        | a string that is not terminated   |
        | a closing bracket too many        |

    Scenario: Objects with random brackets, quotes and fields among sound ones
      # Guards against a sound entry that is lost in a broken one before it.
      When the store returns 300 random broken objects among sound ones
      Then the sound objects of each answer are read
      And each answer takes less than 1 s of processor time

    Scenario: A list with objects whose fields stand in another order
      # Guards against a list that counts as empty, so that a router drops
      # all upstreams, because it is not split into its objects.
      When the store returns an odd object with fields in another order
      Then that answer is no list for it

  Rule: Routers follow the sound entries beside it

    Scenario Outline: Odd entries of every kind that stay
      # Guards against routers that end, do not become ready or follow
      # a collection no more, and against a background task that fails again
      # and again for as long as the entry stays.
      Given a store with a configuration
      And plain upstreams "reg-1" and "reg-2"
      And engines "eng-1" and "eng-2"
      And an odd entry of each kind among those of "<collection>"
      And routers that call each other
      And two direct routers
      Then all routers become ready
      And an upstream that registers afterwards is used
      And callers are answered by sound upstreams only
      And no background task of the routers fails

      Examples:
        | collection |
        | servers    |
        | config     |
        | versions   |
        | crashes    |
        | software   |
        | eras       |
        | leases     |
        | routers    |
