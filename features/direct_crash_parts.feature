Feature: Parts of prompts that crash upstreams are blocked

  Rule: What crashes upstreams is learnt of what requests have in common

    Scenario: A crash names the parts of the prompts that it interrupted
      # Guards against logs that can't show what requests under which upstreams
      # crashed have in common.
      Given a store with a configuration
      And 2 upstreams of "models" that come back after a crash
      And plain upstreams "reg-1" and "reg-2"
      And the part "bad" of prompts crashes upstreams
      And a direct router that logs to a file
      When 2 different prompts "own,bad,last" come, one after the other
      Then the crashes in its log have 2 requests and 2 parts in common
