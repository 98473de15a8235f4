Feature: Upstreams that start again under the id they had

  Rule: Nothing is kept of the start before

    Background:
      Given a store with a configuration

    Scenario: An engine that starts again is asked for the weights it has
      # Symptom: a router refuses all prompts after its engines crashed.
      # Sequence: engines load version 2, crash, and start again under their
      #   ids with version 1; the router goes on asking them for version 2,
      #   which they refuse.
      # Cause: versions known of an id only grew, over its starts too.
      Given engines "eng-1" and "eng-2"
      And a direct router
      When new weights are named
      Then all engines have them, by orders of one holder
      When the engines take no more orders and start again with older weights
      Then soon prompts are answered with the older weights

    Scenario: An upstream that was leaving serves again after a new start
      # Symptom: an upstream that was restarted gets no requests any more.
      # Sequence: it says that it is leaving, ends, and starts again under
      #   its id.
      # Cause: leaving was final for the id and not for the start.
      Given plain upstreams "reg-1" and "reg-2"
      And a direct router
      When upstream "reg-1" says that it is leaving
      Then soon only "reg-2" receives requests
      When upstream "reg-1" starts again
      Then soon it receives requests again

    Scenario: What an earlier start says late changes nothing
      # Symptom: an upstream that serves gets no requests.
      # Sequence: it starts again; then the last word of the start before,
      #   that it is leaving, gets through.
      # Cause: the entry written last counted, whichever start it was of.
      Given plain upstreams "reg-1" and "reg-2"
      And a direct router
      When upstream "reg-1" starts again
      And the start before says that it is leaving
      Then it goes on receiving requests
