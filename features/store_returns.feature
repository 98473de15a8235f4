Feature: The store returns from an older copy

  It loses what was written since, goes back in its revisions, gives them out
  again and tells a new era.

  Rule: Routers serve callers by what was written, not by what was copied

    Background:
      Given a store with a configuration
      And plain upstreams "reg-1" and "reg-2"
      And a direct router

    Scenario: A key taken away right after the return is refused
      # Guards against watches that go on from a revision of another era.
      When the store returns from a copy, a key is taken away and other writes follow
      Then a request with that key soon gets 401

    Scenario: A key taken away before the return is not served again
      # Guards against taking the configuration of the copy for the newest.
      When a key is taken away and the store returns from a copy made before
      Then no request with that key is answered 200 for 3 s

    Scenario: Keys are confirmed again once the configuration is written again
      # Guards against doubt that never ends.
      When a key is taken away and the store returns from a copy made before
      And the operator writes the configuration again
      Then a request with another key soon gets 200
      And a request with that key soon gets 401

    Scenario: A configuration that only the copy holds confirms no key
      # Guards against serving keys that a lost configuration took away.
      When a key is taken away and the store returns from a copy made before
      Then a request with another key soon gets 503

    Scenario: An upstream that had gone is not used again
      # Guards against entries of upstreams that left after the copy.
      When upstream "reg-2" goes and the store returns from a copy made before
      Then no request reaches "reg-2" for 3 s

    Scenario: An upstream that the copy lacks is kept
      # Guards against dropping upstreams that write their entries again.
      When upstream "reg-3" comes and the store returns from a copy made before
      And upstream "reg-3" writes its entry again 1 s later
      Then "reg-3" was known all the time

    Scenario: Two returns in a row
      # Guards against an era that is only compared with the first one.
      When the store returns from a copy, a key is taken away and other writes follow
      And the store returns from a copy, a key is taken away and other writes follow
      Then a request with that key soon gets 401
