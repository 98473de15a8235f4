Feature: A worker's end breaks no stream

  Scenario: All streams of a crashed engine go on at another one
    # Symptom: of 28 streams that an engine had under way when it crashed,
    # 18 ended incomplete and 10 requests got 502 may-have-run.
    # Sequence: callers read streams from both engines, the one with more of
    # them crashes, its router continues each stream at the other.
    # Cause: each continuation took from the retry budget, whose burst of 10
    # is meant for refusals and is far below an engine's open streams.
    Given a fleet of 1 router(s), 2 model worker(s) and 0 plain worker(s)
    And 24 callers read streams of 600 tokens
    When the engine with most requests crashes with over 15 of them open
    Then each caller gets its whole stream
