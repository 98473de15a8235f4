Feature: Upstreams that can't be reached cost callers nothing

  Rule: What reached no upstream is sent elsewhere, whatever the budget

    Scenario: An engine has crashed and the budget for repeats is used up
      # Symptom: in the second after engines crash, a part of all prompts is
      #   refused, though two thirds of the engines have room.
      # Sequence: the connection to a crashed engine is refused; the router
      #   asks its retry budget, of which it has two or three in ten seconds,
      #   and refuses the prompt.
      # Cause: a send that reached no upstream was counted as one that did.
      #   It loads nobody: the next one is the first that arrives.
      Given a store with a configuration
      And engines "eng-1" and "eng-2"
      And a budget that allows no repeats
      And a direct router
      When a caller asks a model
      And the engine that ran it stops listening
      And a caller asks a model
      Then the answer is 200 with all events once and in order

    Scenario: What reached no engine is refused if it would come late
      # Symptom: after engines crash prompts come late that were refused
      #   before, and those that would have been in time come late with them.
      # Sequence: a prompt's engine can't be reached; the others are full
      #   beyond its target; it is sent there all the same.
      # Cause: it was taken for a request that an engine has begun to serve,
      #   which is brought to its end also when that comes late.
      Given a store with a configuration
      And engines "eng-1" and "eng-2"
      And a budget that allows no repeats
      And a direct router
      And all upstreams hold their answers
      When an engine reads a prompt for 1.1 of the 1.2 seconds that are left
      And the other engine stops listening
      And a caller asks a model with a long prompt
      Then that prompt is refused at once with a time to come back

    Scenario: No engine is left
      # Symptom: after all engines of a service have crashed, callers are told
      #   to come back after "inf" seconds, and don't.
      # Sequence: each engine's connections are refused, so it is left alone
      #   for a while; a prompt comes and there is none to send it to.
      # Cause: the time was that of the soonest engine, of which there was
      #   none.
      Given a store with a configuration
      And engines "eng-1" and "eng-2"
      And a direct router
      When all upstreams stop listening
      And a caller asks a model
      And a caller asks a model
      Then the caller is told to come back within 4 seconds

    Scenario: A refusal by an engine still needs the budget
      Given a store with a configuration
      And engines "eng-1" and "eng-2"
      And a budget that allows no repeats
      And a direct router
      And the next upstream shed
      When a caller asks a model
      Then the answer is 503 with a time to come back

  Rule: An upstream at which nobody listens is left alone at once

    Scenario Outline: A connection fails
      # Symptom: each router sends several requests to each crashed engine.
      # Sequence: an engine crashes; its entry goes seconds later; each of
      #   its connections is refused.
      # Cause: three failures in a row were awaited, as of an engine that may
      #   be well. Nobody listens where a connection is refused; one that
      #   timed out may have met a lost packet.
      When a connection to an upstream <fails>
      Then the upstream is <used> 0.1 s later
      And the upstream is used 0.6 s later

      Examples:
        | fails      | used     |
        | is refused | not used |
        | times out  | used     |
