Feature: Load that checks every answer

  Scenario Outline: A workload is the same for the same seed
    Given the workload of <deployment> for 20 s with seed 7
    When it is generated twice
    Then both have the same requests
    And another seed gives other requests

    Examples:
      | deployment |
      | lahore     |
      | moravia    |

  Scenario Outline: A workload has the shape that deployments have
    Given the workload of <deployment> for 60 s with seed 7
    When it is generated
    Then its times grow and end before 60 s
    And its prompts are nested in 3 levels before the question
    And the largest of 8 teams sends over 3 times as much as the smallest
    And the hottest first prefix has over 10% of the model requests
    And each call that must not be repeated has a key of its own
    And one engine's cache holds from 20% to 45% of the prefixes in use

    Examples:
      | deployment |
      | lahore     |
      | moravia    |

  Scenario: Hot prefixes shift at the time asked for
    Given the workload of lahore for 60 s with seed 7
    And its hot prefixes shift at 30 s
    When it is generated
    Then it is the same as without the shift before 30 s
    And the hottest chapter before 30 s is another than after

  Scenario Outline: An answer is compared with what the stand-in ought to say
    Given a streamed request to the tutor for 6 tokens
    When its answer is <fault>
    Then it is found to be <finding>

    Examples:
      | fault                        | finding    |
      | as expected                  | right      |
      | cut after 3 tokens           | incomplete |
      | without its end              | incomplete |
      | empty                        | incomplete |
      | with its last token twice    | duplicated |
      | with its third token twice   | duplicated |
      | sent twice                   | duplicated |
      | that of another request      | crossed    |
      | that of the older weights    | crossed    |
      | with one letter changed      | crossed    |
      | with its third token missing | crossed    |
      | a broken connection          | lost       |
      | an error that may have run   | lost       |
      | an error that did not run    | refused    |
      | a connection never made      | refused    |

  Scenario: A call that ran twice is counted though each answer was right
    Given 3 calls with a key, each with its right answer
    When the plain service has run the second call twice
    Then the summary has 1 duplicated
    And the run is faulty

  Scenario: A call that ran though refused as not-run is counted
    Given 3 calls with a key, each refused as not-run
    When the plain service has run the second call once
    Then the summary has 1 false refusal
    And the run is faulty

  Scenario: Refusals that are true are no fault
    Given 3 calls with a key, each refused as not-run
    When the plain service has run none of them
    Then the summary has 3 refused
    And the run is not faulty

  Scenario: Tokens computed again by any engine are wasted
    Given engines that computed blocks a, b and c before the window
    When one engine computes a, d and d again in the window
    Then 2 blocks of 64 tokens are wasted

  Scenario: A trace that was written is read back
    Given the workload of moravia for 5 s with seed 7
    When it is written as a trace and read
    Then both have the same requests

  Scenario Outline: A wrong line of a trace is named
    Given a trace whose second line is <line>
    When the trace is read
    Then the error names line 2 and says <message>

    Examples:
      | line                                                                                                      | message        |
      | {"at_s": 1                                                                                                | truncated      |
      | {"at_s": "soon", "team": "t1", "service": "tutor", "path": "/v1/chat/completions", "body": {}}            | $.at_s         |
      | {"at_s": -1, "team": "t1", "service": "registry", "path": "/services/registry/a"}                         | at_s of 0      |
      | {"at_s": 1, "team": "t1", "service": "tutor", "path": "/v1/chat/completions", "body": {"model": "m"}}     | messages       |
      | {"at_s": 1, "team": "t1", "service": "tutor", "path": "/services/registry/a", "body": null}               | /services/tutor |
      | {"at_s": 1, "service": "tutor", "path": "/v1/chat/completions", "body": {}}                               | team           |
      | {"at_s": 1, "team": "t1", "service": "tutor", "path": "/v1/chat/completions", "body": {}, "retries": 1}   | retries        |

  Scenario: A team without a key is named before anything is sent
    Given a trace of the teams t1 and t2
    When it is checked against a key of t1 only
    Then the error names the team t2

  Scenario: A replay checks the answers of a running fleet
    Given a running fleet of lahore with 1 router, 1 model and 1 plain worker
    And the first 40 requests of its workload as a trace
    When the trace is replayed through the command line
    Then it ends with code 0
    And the report counts 40 right answers

  Scenario: A replay with the wrong weights finds every model answer crossed
    Given a running fleet of lahore with 1 router, 1 model and 1 plain worker
    And the first 10 model requests of its workload as a trace
    When the trace is replayed expecting the weights "w2"
    Then it ends with code 1
    And the report counts 10 crossed answers
