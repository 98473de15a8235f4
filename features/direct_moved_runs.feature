Feature: A run that moves is at work at one upstream at a time

  An engine with several streams falls silent, and others are asked to go on
  with them. Whatever happens meanwhile, no run is at work at the engine
  before 0.4 s after it went on at another one.

  Rule: The engine before is ended in time

    Scenario Outline: It sends nothing more
      # Guards against runs that are ended only at the first event elsewhere.
      Given 2 engines with streams that <kind>
      And engines go on with runs after 0.5 s
      And streams at an engine and others elsewhere
      When that engine falls silent and others are asked to go on
      Then no run is at work at two engines 0.4 s after it went on
      And each caller gets all events once and in order

      Examples:
        | kind              |
        | go on from a copy |
        | are resumed       |

    Scenario: One of its streams has no more events, others have
      # Guards against the same for a stream that stalls on its own.
      Given 2 engines with streams that go on from a copy
      And engines go on with runs after 0.5 s
      And the first stream stalls
      And streams at an engine and others elsewhere
      When others are asked to go on with the first stream
      Then no run is at work at two engines 0.4 s after it went on
      And each caller gets all events once and in order

    Scenario Outline: It goes on while the next one is asked
      # Guards against runs that go on at both, and against events that are
      # lost or sent twice as one of them is ended.
      Given 2 engines with streams that <kind>
      And engines go on with runs after 0.5 s
      And streams at an engine and others elsewhere
      When that engine falls silent and others are asked to go on
      And that engine goes on after <wait> s more
      Then no run is at work at two engines 0.4 s after it went on
      And each caller gets all events once and in order

      Examples:
        | kind              | wait |
        | go on from a copy | 0.1  |
        | go on from a copy | 0.3  |
        | are resumed       | 0.1  |
        | are resumed       | 0.3  |

    Scenario Outline: It completes its streams while the next one is asked
      # Guards against an answer that is lost, or ended twice, as its last
      # events and its end arrive at once.
      Given 2 engines with streams that <kind>
      And engines go on with runs after 0.5 s
      And streams at an engine and others elsewhere
      When that engine falls silent and others are asked to go on
      And that engine completes its streams after 0.1 s more
      Then no run is at work at two engines 0.4 s after it went on
      And each caller gets all events once and in order

      Examples:
        | kind              |
        | go on from a copy |
        | are resumed       |

    Scenario Outline: Its connections break while the next one is asked
      # Guards against streams that are lost, or sent a second time, as both
      # sends of them are under way.
      Given 2 engines with streams that <kind>
      And engines go on with runs after 0.5 s
      And streams at an engine and others elsewhere
      When that engine falls silent and others are asked to go on
      And the connections of that engine are <broken>
      Then no run is at work at two engines 0.4 s after it went on
      And each caller gets all events once and in order

      Examples:
        | kind              | broken |
        | go on from a copy | reset  |
        | are resumed       | closed |

    Scenario Outline: Its entry says that it leaves while the next one is asked
      # Guards against runs that are not ended at an engine that leaves.
      Given 2 engines with streams that <kind>
      And engines go on with runs after 0.5 s
      And streams at an engine and others elsewhere
      When that engine falls silent and others are asked to go on
      And the entry of that engine is <change>
      Then no run is at work at two engines 0.4 s after it went on
      And each caller gets all events once and in order

      Examples:
        | kind              | change   |
        | go on from a copy | draining |
        | are resumed       | removed  |

    Scenario: It says itself that it leaves
      # Guards against the same where answers tell before the entry does.
      Given 2 engines with streams that go on from a copy
      And engines go on with runs after 0.5 s
      And streams at an engine and others elsewhere
      When that engine falls silent and others are asked to go on
      And that engine says that it leaves
      Then no run is at work at two engines 0.4 s after it went on
      And each caller gets all events once and in order

    Scenario Outline: New weights are ordered while the next one is asked
      # Guards against runs that go on at both across a load of weights.
      Given 2 engines with streams that <kind>
      And engines go on with runs after 0.5 s
      And streams at an engine and others elsewhere
      When that engine falls silent and others are asked to go on
      And new weights are released and engines <mode> their runs
      Then no run is at work at two engines 0.4 s after it went on
      And each caller gets all events once and in order

      Examples:
        | kind              | mode |
        | go on from a copy | keep |
        | are resumed       | cut  |

    Scenario: The next engine leaves while it is asked
      # Guards against runs that go on at both as the next one is left.
      Given 2 engines with streams that go on from a copy
      And engines go on with runs after 0.5 s
      And streams at an engine and others elsewhere
      When that engine falls silent and others are asked to go on
      And the entries of the other engines are removed
      Then no run is at work at two engines 0.4 s after it went on
      And each caller gets all events once and in order

  Rule: The run is kept where the next engine has not begun

    Scenario Outline: The next engine refuses
      # Guards against streams that are lost as their runs are ended for an
      # engine that refuses, and against events that are lost meanwhile.
      Given 2 engines with streams that <kind>
      And engines refuse runs that are to go on, after <gap> s
      And streams at an engine and others elsewhere
      When that engine falls silent and others are asked to go on
      And that engine goes on after 0.1 s more
      Then only the engine before has run the moved streams
      And each caller gets all events once and in order

      Examples:
        | kind              | gap |
        | go on from a copy | 0   |
        | go on from a copy | 0.1 |
        | are resumed       | 0.1 |

    Scenario: The engine with the copy refuses late
      # Guards against events that a caller gets twice as a run ends.
      Given 2 engines with streams that go on from a copy
      And engines refuse runs that are to go on, after 0.3 s
      And streams at an engine and others elsewhere
      When that engine falls silent and others are asked to go on
      And that engine goes on after 0.1 s more
      Then no run is at work at two engines 0.4 s after it went on
      And no caller gets an event twice or out of order

    Scenario: The next engine refuses late
      # Guards against streams that are lost although engines are left.
      Given 3 engines with streams that are resumed
      And engines refuse runs that are to go on, after 0.3 s
      And streams at an engine and others elsewhere
      When that engine falls silent and others are asked to go on
      And engines go on with what they are asked after 0.35 s
      Then no run is at work at two engines 0.4 s after it went on
      And each caller gets all events once and in order

    Scenario: The engine with the copy breaks off without an answer
      # Guards against runs that go on although they may have begun elsewhere.
      Given 2 engines with streams that go on from a copy
      And engines answer runs that are to go on with "reset"
      And streams at an engine and others elsewhere
      When that engine falls silent and others are asked to go on
      And that engine goes on after 0.1 s more
      Then no run is at work at two engines 0.4 s after it went on
      And no caller gets an event twice or out of order

    Scenario: The next engine breaks off without an answer
      # Guards against streams that are lost although their engine lives.
      Given 2 engines with streams that are resumed
      And engines answer runs that are to go on with "reset"
      And streams at an engine and others elsewhere
      When that engine falls silent and others are asked to go on
      And that engine goes on after 0.1 s more
      Then no run is at work at two engines 0.4 s after it went on
      And each caller gets all events once and in order

    Scenario Outline: No other engine accepts a connection
      # Guards against runs that are ended although nothing was sent elsewhere.
      Given 2 engines with streams that <kind>
      And streams at an engine and others elsewhere
      And the other engines accept no connections
      When that engine falls silent
      And that engine goes on after 0.6 s more
      Then only the engine before has run the moved streams
      And each caller gets all events once and in order

      Examples:
        | kind              |
        | go on from a copy |
        | are resumed       |

    Scenario Outline: The run goes on while the router connects
      # Guards against runs that are ended, or go on at both, as a connection
      # takes long.
      Given 2 engines with streams that <kind>
      And streams at an engine and others elsewhere
      And connections to engines take 0.6 s from now on
      When that engine falls silent
      And the router connects to others
      And that engine goes on after 0.3 s more
      Then only the engine before has run the moved streams
      And each caller gets all events once and in order

      Examples:
        | kind              |
        | go on from a copy |
        | are resumed       |

    Scenario: Connections take long and the engine before stays silent
      # Guards against a bound that counts from before the sending.
      Given 2 engines with streams that go on from a copy
      And engines go on with runs after 0.5 s
      And streams at an engine and others elsewhere
      And connections to engines take 0.3 s from now on
      When that engine falls silent and others are asked to go on
      Then no run is at work at two engines 0.4 s after it went on
      And each caller gets all events once and in order

  Rule: Callers do not lengthen the work

    Scenario Outline: The callers leave while two engines have their streams
      # Guards against work that goes on for callers that have left.
      Given 2 engines with streams that <kind>
      And engines go on with runs after 2 s
      And streams at an engine and others elsewhere
      When that engine falls silent and others are asked to go on
      And the callers of its streams leave
      Then no engine works on their streams 0.5 s later
      And no run is at work at two engines 0.4 s after it went on

      Examples:
        | kind              |
        | go on from a copy |
        | are resumed       |

    Scenario: A caller does not read while its stream is moved
      # Guards against a run that is ended only once its caller reads on.
      Given 2 engines with streams that go on from a copy
      And engines go on with runs after 0.5 s
      And events of 120000 bytes
      And streams at an engine and others elsewhere
      When the caller of one of its streams reads no more
      And that engine falls silent and others are asked to go on
      Then no run is at work at two engines 0.4 s after it went on
      And each caller gets all events once and in order

  Rule: A stream that moves more than once is at work at two engines at most

    Scenario: The next engine falls silent in turn
      # Guards against streams that are at work at three engines.
      Given 3 engines with streams that are resumed
      And engines go on with runs after 0.1 s
      And streams at an engine and others elsewhere
      When that engine falls silent and others are asked to go on
      And engines go on with runs after 0.5 s
      And the engine that goes on with most of them falls silent
      And other engines are asked for those in turn
      Then no run is at work at two engines 0.4 s after it went on
      And each caller gets all events once and in order

  Rule: A run without events is ended before the next one begins

    Scenario: A plain request is sent again
      # Guards against two runs of a request whose first upstream is slow.
      Given a router with 2 plain upstreams
      And the next engines answer with "mute"
      When a caller fetches a record
      Then the answer is 200 with the whole body and its proof
      And the upstream before was left as the next one was asked

    Scenario: A stream without events is sent again
      # Guards against the same for a stream that has not begun.
      Given a router with 2 engines
      And the next engines answer with "mute"
      When a caller asks a model
      Then the answer is 200 with all events once and in order
      And the upstream before was left as the next one was asked
