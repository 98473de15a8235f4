Feature: A task of a router that fails goes on

  Rule: An unforeseen error ends no task for good

    Background:
      Given a store with a configuration
      And plain upstreams "reg-1" and "reg-2"
      And engines "eng-1" and "eng-2"

    Scenario Outline: A task whose step fails once
      # Guards against a router that stays ready although one of its tasks has
      # ended for good, such as one that follows no upstream any more.
      Given a direct router
      And the router is ready
      When <step> fails once
      Then it is soon called again
      And requests are answered

      Examples:
        | step                                       |
        | _fleet._config_watcher.step                |
        | _fleet._upstream_watcher.step              |
        | _fleet._weights_watcher.step               |
        | _fleet._router_count.step                  |
        | _fleet._silence_detector.check             |
        | _fleet._version_records.update             |
        | _fleet._limiters._teams._settle            |
        | _fleet._limiters._upstreams._limiter._settle |
        | _fleet._stream_origins.send_held_back      |
        | _fleet._pool.close_expired                 |
        | _fleet._crash_guard._registry.expire       |
        | _planner.step                              |

    Scenario Outline: Each task fails once
      # Guards against a task of which nobody thought, and against one that
      # fails before a router is ready.
      Given routers that call each other
      And each task fails once <when>
      And 2 direct routers
      And each router knows the 1 other
      When requests are sent for 3 s
      Then all of them are answered
      And each task has failed and runs again
      When new weights are named
      Then all engines soon have them
      And an upstream that registers afterwards is used

      Examples:
        | when         |
        | at its start |
        | after 0.5 s  |

    Scenario: A task fails again and again
      # Guards against keys that count as confirmed, by a router that counts as
      # ready, although nothing confirms them any more.
      Given a direct router
      And the router is ready
      When _fleet._config_watcher.step fails each time
      Then the router soon is not ready, and refuses keys with 503
      And the failures of "configuration" are counted and logged
      When _fleet._config_watcher.step fails no more
      Then the router is soon ready
      And requests are answered

  Rule: What can't be applied affects nothing else, and is applied later

    Background:
      Given a store with a configuration
      And plain upstreams "reg-1" and "reg-2"
      And a direct router
      And the router is ready

    Scenario: The entry of an upstream can't be applied
      # Guards against an upstream that is used by an entry that is no longer
      # valid, and against others whose entries are not applied either.
      When the changed entry of upstream "reg-1" can't be applied
      Then an upstream that registers afterwards is used
      And soon only "reg-2" and the new one receive requests
      When entries can be applied again
      Then all three receive requests

    Scenario: A configuration can't be applied at first
      # Guards against a key that stays valid for as long as the router runs,
      # as the configuration without it counts as applied.
      When a configuration without a key is written that can't be applied at first
      Then a request with that key soon gets 401
      And the router is soon ready

    Scenario: A configuration can't be applied
      # Guards against keys that count as confirmed by a configuration that is
      # not in force.
      When a configuration without a key is written that can't be applied at all
      Then the router soon is not ready, and refuses keys with 503
