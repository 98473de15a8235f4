Feature: Services whose upstreams share their machines are recognized

  Rule: The load header may have a fourth figure

    Scenario Outline: A load header is decoded
      # Guards against loads that are lost because of a figure that is
      # malformed, or that older routers do not know.
      When an upstream reports the load "<header>"
      Then the load is <load> with a slowdown of <slowdown>

      Examples: Three figures, and more of them
        | header               | load      | slowdown |
        | 3,1,48               | 3 / 1 / 48 | None    |
        | 3,1,48,250           | 3 / 1 / 48 | 2.5     |
        | 3, 1, 48, 62.5       | 3 / 1 / 48 | 0.625   |
        | 3,1,48,100,7,x       | 3 / 1 / 48 | 1.0     |

      Examples: The fourth is malformed or not positive
        | header               | load      | slowdown |
        | 3,1,48,              | 3 / 1 / 48 | None    |
        | 3,1,48,slow          | 3 / 1 / 48 | None    |
        | 3,1,48,nan           | 3 / 1 / 48 | None    |
        | 3,1,48,inf           | 3 / 1 / 48 | None    |
        | 3,1,48,0             | 3 / 1 / 48 | None    |
        | 3,1,48,-250          | 3 / 1 / 48 | None    |

      Examples: One of the first three is missing or malformed
        | header               | load      | slowdown |
        | 3,1                  | unknown   | None     |
        | 3,,48,250            | unknown   | None     |
        | 3,x,48,250           | unknown   | None     |

  Rule: Reports of upstreams may tell their usage

    Scenario Outline: Each figure of a report is decoded by itself
      # Guards against a report that is lost because of one malformed figure.
      When an upstream reports the usage <usage>
      Then its queue, runs, KV memory and first prompt are <figures>
      And the rest of the report is valid

      Examples:
        | usage | figures |
        | {} | None, None, None, None, None |
        | {"QueuedRequests": 3, "RunningRequests": 48, "KvUsed": 900, "KvTotal": 1000, "Next": 70} | 3, 48, 900, 1000, 70 |
        | {"QueuedRequests": -3, "RunningRequests": "48", "KvUsed": 0.5, "KvTotal": null, "Next": 70} | None, None, None, None, 70 |
        | {"QueuedRequests": 0, "RunningRequests": [], "KvUsed": {}, "KvTotal": true} | 0, None, None, None, None |

    Scenario: The usage is logged with an order that is refused as busy
      # Guards against an engine that never loads without a trace of why.
      Given a store with a configuration
      And engines "eng-1" and "eng-2"
      And engines that are busy with 3 queued and 48 running requests
      And a direct router
      When weights are released and an engine refuses to load them
      Then the log line has 3 queued and 48 running requests

  Rule: The setting decides, or what upstreams report

    Scenario Outline: A service is contended or not
      # Guards against routers that ignore the setting, and against a service
      # that is contended because an upstream of another one reports.
      Given a cluster state with contention "<setting>"
      When upstreams of "<reporting>" report their slowdown twice
      Then "models" is contended: <contended>
      And <lines> lines say that a service is contended
      And the metric of "models" is <metric>

      Examples:
        | setting | reporting | contended | lines | metric |
        | auto    | models    | True      | 1     | 1      |
        | auto    | registry  | False     | 1     | 0      |
        | auto    | none      | False     | 0     | 0      |
        | on      | none      | True      | 2     | 1      |
        | on      | models    | True      | 2     | 1      |
        | off     | models    | False     | 0     | 0      |

    Scenario Outline: A router learns of shared machines from answers
      # Guards against a slowdown that is decoded and never applied.
      Given a store with a configuration
      And engines "eng-1" and "eng-2"
      And engines that report the load "<header>"
      And a direct router
      When a caller asks a model
      Then the answer is 200 with all events once and in order
      And at the router "models" is contended: <contended>

      Examples:
        | header    | contended |
        | 1,0,4,130 | True      |
        | 1,0,4     | False     |
