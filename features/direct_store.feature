Feature: A direct router and the platform's store

  Rule: The cluster state is never older than guaranteed

    Background:
      Given a store with a configuration
      And plain upstreams "reg-1" and "reg-2"
      And a direct router

    Scenario: A revoked key is refused
      When the key of a team is revoked
      Then a request with that key soon gets 401

    Scenario Outline: Keys are refused while they can't be confirmed
      # Guards against requests with a key that was revoked seconds ago. If the
      # store stops answering one router and a key is revoked, the router must
      # not use its unconfirmed configuration without a time limit.
      When the store is <mode>
      Then a request with a key soon gets 503
      And its caller is asked to retry at once on a new connection
      When the store is calm
      Then a request with a key soon gets 200

      Examples:
        | mode   |
        | busy   |
        | silent |
        | reset  |

    Scenario Outline: Waiting for changes keeps the configuration confirmed
      # Guards against a router without faults that refuses requests with keys
      # for some seconds of each minute. The last confirmation ages while the
      # next call waits for changes, so the wait must depend on the time within
      # which keys must be refused.
      Given revoked keys must be refused within <revoke> seconds
      Then a call that waits for changes ends well before keys become invalid

      Examples:
        | revoke |
        | 1      |
        | 2      |
        | 5      |
        | 30     |

    Scenario Outline: Age of the data after each answer of the store
      # Guards against refusing all keys 1.2 s too early when the store becomes
      # unreachable. A call that waited 1.2 s and returned no change confirms
      # the time that the store watched, not only the time of its sending.
      Given a router that watches a store with calls of 1.2 s
      When <answer> is received for a call sent <ago> s ago
      Then all changes up to <age> s ago are known

      Examples:
        | answer    | ago | age |
        | a list    | 1.3 | 1.3 |
        | a change  | 1.3 | 2.3 |
        | no change | 1.3 | 1.1 |
        | no change | 4.0 | 3.8 |
        | no change | 0.2 | 1.0 |

    Scenario: An earlier configuration is not applied again
      # Guards against losing an added route for some requests: a late answer
      # may carry an earlier configuration, so the highest version counts and
      # not the last answer.
      When a route is added and then an earlier configuration is written
      Then a request on the new route still gets 200

    Scenario Outline: An invalid entry does not stop the router
      # Guards against a router that refuses all keys a few seconds after an
      # invalid entry was written, until it is restarted. One entry with a
      # field of the wrong type must neither fail the whole answer nor end the
      # task that watches the store.
      When an entry of an upstream is written with <fields>
      And the key of a team is revoked
      Then a request with that key soon gets 401
      And an upstream that registers afterwards is used

      Examples:
        | fields                         |
        | {"Service": 5}                 |
        | {}                             |
        | []                             |
        | {"Service": "registry"}        |

    Scenario: An invalid configuration does not confirm keys
      # Guards against serving a revoked key. A configuration without the key
      # may be skipped because of another invalid field; the answer with it
      # must not confirm the previous configuration.
      When a configuration that can't be decoded is written
      Then a request with a key soon gets 503

    Scenario: The list is reread after the change history expired
      Given the store discards its history while watches return nothing
      When the key of a team is revoked
      And the store is calm
      Then a request with that key soon gets 401

    Scenario: More upstreams than fit into a page of the list
      Given 7 more plain upstreams
      When a router starts now
      Then it sends requests to all of them

  Rule: Upstreams are added and removed by their entries

    Background:
      Given a store with a configuration
      And plain upstreams "reg-1" and "reg-2"
      And a direct router

    Scenario Outline: A leaving upstream receives no new requests
      When upstream "reg-1" <leaves>
      Then soon only "reg-2" receives requests

      Examples:
        | leaves                    |
        | says that it is leaving   |
        | loses its entry           |

    Scenario: A leaving upstream does not become ready again
      # Guards against requests to an upstream that is shutting down: a late
      # entry may still say "ready", but leaving is final.
      When upstream "reg-1" says that it is leaving and then that it is ready
      Then soon only "reg-2" receives requests

    Scenario: Entries that lapsed during an outage are retained for a while
      # Guards against refusing everything after an outage of the store. The
      # entries of live upstreams lapse during the outage, so an entry that is
      # missing from the first list does not mean that its upstream terminated.
      When the store recovers from an outage without any upstream entry
      Then a request with a key soon gets 200
      And after a while requests get 503

  Rule: New weights are ordered by one router at a time

    Background:
      Given a store with a configuration
      And engines "eng-1" and "eng-2"
      And a direct router

    Scenario: Named weights are loaded by all engines
      When new weights are named
      Then all engines have them, by orders of one holder

    Scenario: An engine that has loaded holds up no other one
      # Guards against a turn that lasts until the order would be repeated
      # although the engine has loaded long before: its entry does not say so
      # yet.
      When new weights are named
      Then all engines have them, by orders of one holder
      And the last engine was ordered less than 1.0 s after the first

    Scenario: Versions named in quick succession
      When three versions of weights are named at once
      Then all engines have the last one
      And no engine was ordered an earlier version after a later one

    Scenario: A late order is refused by the count of orders
      # Guards against an engine that goes back to earlier weights: an order
      # without an answer may arrive after a later one was executed. Each order
      # carries the count of orders that must precede it.
      When new weights are named
      Then every order carries the count of orders accepted before it

    Scenario: Entries with outdated weights do not block a new router
      # Guards against a router that refuses all prompts for ever while others
      # serve. The entries still carry the old weights after the engines loaded
      # new ones. A router that starts and trusts only the entries excludes all
      # engines once the old weights are overdue; as it sends nothing, no
      # answer corrects it.
      Given a second direct router
      When engines load new weights without updating their entries
      Then a router that starts now serves prompts when old weights are overdue

    Scenario: A second router takes over when the first has terminated
      # Guards against new weights that are never loaded because the router
      # that gives orders died and no other may give them.
      Given a second direct router
      When the lease holder dies and new weights are named
      Then all engines have them, by orders of the other holder
      And the fencing number has grown

    Scenario: A holder that stops during a renewal releases its lease
      # Guards against a delay of six seconds for new weights in a rolling
      # restart. If the holder stops before the store answered its renewal and
      # abandons the call, it does not know the new version, and its release
      # meets a conflict.
      When the lease holder stops during a renewal
      Then nobody holds the lease

    Scenario Outline: The lease survives answers that are lost or late
      Given the store <mode> the answers of writes for a while
      When new weights are named
      Then all engines have them, by orders of one holder

      Examples:
        | mode  |
        | loses |
        | late  |

  Rule: A drain interrupts no request

    Background:
      Given a store with a configuration
      And plain upstreams "reg-1" and "reg-2"
      And a direct router

    Scenario: Open requests are completed
      # Guards against an interrupted answer in a restart: connections must not
      # be closed before the answers of open requests are sent.
      Given all upstreams hold their answers
      When a router is stopped during a request and the answers are released
      Then the request gets 200 and "Connection: close"
      And the router is not ready

    Scenario: An idle connection is closed after its next answer
      When a router is stopped and a request arrives on an idle connection
      Then the request gets 200 and "Connection: close"
