Feature: A direct router and the platform's store

  Rule: What is known of the store's answers is never older than promised

    Background:
      Given a store with a configuration
      And plain upstreams "reg-1" and "reg-2"
      And a direct router

    Scenario: A key that is taken away is refused
      When the key of a team is taken away
      Then a request with that key soon gets 401

    Scenario Outline: Keys are refused while they can't be confirmed
      # Symptom: a request runs with a key taken away seconds before.
      # Sequence: the store stops answering one router; a key is taken away;
      #   the router goes on with the configuration it has.
      # Cause: a configuration was believed for as long as none newer came.
      When the store is <mode>
      Then a request with a key soon gets 503
      And its caller is told to come back at once on a new connection
      When the store is calm
      Then a request with a key soon gets 200

      Examples:
        | mode   |
        | busy   |
        | silent |
        | reset  |

    Scenario Outline: Waiting for changes keeps the configuration confirmed
      # Symptom: a router without faults refuses requests with keys, some
      #   seconds of each minute.
      # Sequence: nothing changes; a call waits for a change and returns;
      #   while the next one waits, what the first confirmed grows older.
      # Cause: calls waited for a fixed time, whatever the time to refuse
      #   keys.
      Given keys that are taken away must be refused within <revoke> seconds
      Then a call that waits for changes ends well before keys are doubted

      Examples:
        | revoke |
        | 1      |
        | 2      |
        | 5      |
        | 30     |

    Scenario Outline: What each answer of the store confirms
      # Symptom: a router refuses all keys 1.2 s sooner than it must when the
      #   store goes away.
      # Sequence: a call waits 1.2 s for changes and returns empty; the store
      #   goes away; keys are doubted once that call's sending is too old.
      # Cause: the time that the store had watched was not counted.
      Given a router that follows a store by calls of 1.2 s
      When <answer> comes to a call sent <ago> s ago
      Then all changes up to <age> s ago are known

      Examples:
        | answer    | ago | age |
        | a list    | 1.3 | 1.3 |
        | a change  | 1.3 | 2.3 |
        | no change | 1.3 | 1.1 |
        | no change | 4.0 | 3.8 |
        | no change | 0.2 | 1.0 |

    Scenario: An older configuration never comes back
      # Symptom: a route that was added is gone again for some requests.
      # Sequence: a late answer brings an older configuration.
      # Cause: the last answer was taken, not the highest version.
      When a route is added and then an older configuration is written
      Then a request on the new route still gets 200

    Scenario Outline: An entry that can't be read stops nothing
      # Symptom: a router refuses all keys a few seconds after somebody wrote
      #   an entry, and does so until it is started again.
      # Sequence: an entry has a field of another type than agreed; reading
      #   it ends the task that follows the store.
      # Cause: one unreadable entry failed the whole answer.
      When an entry of an upstream is written with <fields>
      And the key of a team is taken away
      Then a request with that key soon gets 401
      And an upstream that comes then is used

      Examples:
        | fields                         |
        | {"Service": 5}                 |
        | {}                             |
        | []                             |
        | {"Service": "registry"}        |

    Scenario: A configuration that can't be read confirms no keys
      # Symptom: a key that was taken away is still served.
      # Sequence: a configuration without the key is not as agreed in another
      #   field; it is left out, and the old one goes on.
      # Cause: the answer with it was taken for a confirmation of the old one.
      When a configuration is written that can't be read
      Then a request with a key soon gets 503

    Scenario: A history that is gone is read anew
      Given the store forgets its history while watches hear nothing
      When the key of a team is taken away
      And the store is calm
      Then a request with that key soon gets 401

    Scenario: More upstreams than a page of the list holds
      Given 7 more plain upstreams
      When a router starts now
      Then it sends requests to all of them

  Rule: Upstreams come and go by their entries

    Background:
      Given a store with a configuration
      And plain upstreams "reg-1" and "reg-2"
      And a direct router

    Scenario Outline: An upstream that leaves gets nothing new
      When upstream "reg-1" <leaves>
      Then soon only "reg-2" receives requests

      Examples:
        | leaves                    |
        | says that it is leaving   |
        | loses its entry           |

    Scenario: An upstream that was leaving does not come back
      # Symptom: a request reaches an upstream that is shutting down.
      # Sequence: its entry says leaving, then a late entry says ready.
      # Cause: the last entry counted, though leaving is final.
      When upstream "reg-1" says that it is leaving and then that it is ready
      Then soon only "reg-2" receives requests

    Scenario: Entries that lapsed in an outage are kept for a while
      # Symptom: after an outage of the store a router refuses everything.
      # Sequence: the store is away; the entries of living upstreams lapse;
      #   the router believes the first list after the outage.
      # Cause: a missing entry was taken for an upstream that is gone.
      When the store returns from an outage with no upstream left
      Then a request with a key soon gets 200
      And after a while requests get 503

  Rule: New weights are ordered by one router at a time

    Background:
      Given a store with a configuration
      And engines "eng-1" and "eng-2"
      And a direct router

    Scenario: Named weights reach all engines
      When new weights are named
      Then all engines have them, by orders of one holder

    Scenario: Versions named in quick succession
      When three versions of weights are named at once
      Then all engines have the last one
      And no engine was ordered an older version after a newer one

    Scenario: A late order is refused by the count of orders
      # Symptom: an engine goes back to older weights.
      # Sequence: an order gets no answer; a newer one is carried out; the
      #   late one arrives.
      # Cause: an order did not say after how many others it was meant.
      When new weights are named
      Then every order names the count of orders taken before it

    Scenario: Entries that go on naming old weights stop no router
      # Symptom: a router refuses all prompts for ever; the others serve.
      # Sequence: engines load new weights; their entries still name the old
      #   ones; a router starts and, once the old are overdue, leaves all
      #   engines out. It sends nothing, so no answer tells it better.
      # Cause: an engine was judged only by what its entry says.
      Given a second direct router
      When engines load new weights that their entries never name
      Then a router that starts now answers prompts when old ones are overdue

    Scenario: A second router takes over when the first is gone
      # Symptom: new weights are never loaded.
      # Sequence: the router that gives orders dies.
      # Cause: nobody else may give orders.
      Given a second direct router
      When the router that gives orders dies and new weights are named
      Then all engines have them, by orders of the other holder
      And the fencing number has grown

    Scenario: A holder that stops while it renews releases its lease
      # Symptom: new weights wait for six seconds when routers are restarted
      #   in turn.
      # Sequence: the holder of orders is stopped while the store has not
      #   answered its renewal yet.
      # Cause: the renewal was given up; its version stayed unknown, so that
      #   the release met a conflict.
      When the router that gives orders stops in the middle of a renewal
      Then nobody holds the lease

    Scenario Outline: The lease survives answers that are lost or late
      Given the store <mode> the answers of writes for a while
      When new weights are named
      Then all engines have them, by orders of one holder

      Examples:
        | mode  |
        | loses |
        | late  |

  Rule: A drain cuts nothing

    Background:
      Given a store with a configuration
      And plain upstreams "reg-1" and "reg-2"
      And a direct router

    Scenario: Open requests are finished
      # Symptom: a caller's answer is cut when a router is restarted.
      # Sequence: a request is under way when the stop comes.
      # Cause: connections were closed before their answers were out.
      Given all upstreams hold their answers
      When a router is stopped during a request and the answers go on
      Then the request gets 200 and the end of its connection is announced
      And the router is not ready

    Scenario: A kept connection is closed after its next answer
      When a router is stopped and a request comes on a kept connection
      Then the request gets 200 and the end of its connection is announced
