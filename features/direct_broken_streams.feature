Feature: A started stream goes on although upstreams refuse it

  Rule: Refusals do not end a started stream while upstreams are left

    Scenario: Many engines refuse to continue a stream
      # Guards against a started answer that is aborted after four sends, of
      # which three were refused, although other engines have not been asked.
      Given a router with 7 engines
      And the next engines answer with "cut, shed, shed, shed, shed, shed"
      When a caller asks a model
      Then the answer is 200 with all events once and in order
      And engines received 7 sends

    Scenario: Engines had refused a stream before it started
      # Guards against refusals before the first event that leave no send to
      # continue the stream with.
      Given a router with 7 engines
      And the next engines answer with "shed, shed, shed, cut, shed"
      When a caller asks a model
      Then the answer is 200 with all events once and in order
      And engines received 6 sends

    Scenario: Every engine has refused to continue a stream
      # Guards against an aborted answer although engines that refused have
      # capacity again 150 ms later.
      Given a router with 2 engines
      And the next engines answer with "cut, shed, shed"
      When a caller asks a model
      Then the answer is 200 with all events once and in order
      And engines received 4 sends
      And sends after the first 2 are at least 100 ms apart

    Scenario: The engine that broke a stream off does not continue it
      # Guards against a run that is sent again to an engine that broke it
      # off, as if it had refused.
      Given a router with 1 engines
      And the next engines answer with "cut"
      When a caller asks a model
      Then the caller's answer is aborted
      And engines received 1 sends

  Rule: The sends for one stream are bounded

    Scenario: Engines refuse a stream for as long as it waits
      # Guards against sends in quick succession to engines that refuse.
      Given a router with 4 engines
      And the next engines answer with "cut" and then all refuse
      When a caller asks a model
      Then the caller's answer is aborted
      And sends after the first 4 are at least 100 ms apart

    Scenario: The retry budget is used up by refusals
      # Guards against refused sends that the retry budget does not count.
      Given a retry budget of 3 retries
      And a router with 7 engines
      And the next engines answer with "cut" and then all refuse
      When a caller asks a model
      Then the caller's answer is aborted
      And engines received 4 sends

    Scenario: The settings are read again while the retry budget is used up
      # Guards against a new retry budget with each SIGHUP.
      Given a retry budget of 3 retries
      And a router with 7 engines
      And the next engines answer with "cut" and then all refuse
      When a caller asks a model
      And the router reads its settings again
      And a caller asks a model
      And the router reads its settings again
      And a caller asks a model
      Then engines received 6 sends

    Scenario: The settings are read again with a larger retry budget
      # Guards against bounds that are read again without effect, and against
      # retries that the new bounds do not count.
      Given a retry budget of 3 retries
      And a router with 7 engines
      And the next engines answer with "cut" and then all refuse
      When a caller asks a model
      And the router reads its settings again with a budget of 5 retries
      And a caller's stream is cut and then refused
      Then engines received 7 sends

    Scenario: A stream breaks off more often than its route allows
      # Guards against further runs of a stream that refusals make possible.
      Given a router with 7 engines
      And the next engines answer with "cut, shed, shed, shed, cut"
      When a caller asks a model
      Then the caller's answer is aborted
      And engines received 5 sends

    Scenario: Engines refuse a stream that has not started
      # Guards against more sends for requests that can be refused instead.
      Given a router with 7 engines
      And the next engines answer with "shed" and then all refuse
      When a caller asks a model
      Then the answer is 503 with a time to come back
      And engines received 4 sends
