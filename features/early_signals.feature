Feature: Signals reach a process that still starts

  A process needs some tenths of a second to load its libraries. The times are
  those for which it has used a processor, so that they mean the same on a
  busy machine. The interpreter itself uses the first 0.02 s.

  Background:
    Given a store with a configuration
    And plain upstreams "reg-1" and "reg-2"

  Scenario Outline: SIGHUP while a router starts
    # Guards against SIGHUP that ends a process without a handler for it yet,
    # and against a change of the settings that a starting process misses.
    Given a router process that has used a processor for <moment> s
    When it gets SIGHUP
    Then it serves and has read its settings again once

    Examples:
      | moment |
      | 0.05   |
      | 0.1    |
      | 0.2    |
      | 0.3    |
      | 0.4    |
      | 0.6    |

  Scenario Outline: SIGTERM while a router starts
    # Guards against a process that can't be stopped while it starts.
    Given a router process that has used a processor for <moment> s
    When it gets SIGTERM
    Then it ends by the signal or by a stop

    Examples:
      | moment |
      | 0.05   |
      | 0.2    |
      | 0.4    |
