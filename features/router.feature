Feature: A router takes callers' requests and has agents run them
  Every answer reaches its own caller once and whole, and a refusal says
  truly whether the request may have run.

  Background:
    Given a router whose bundle has the teams "rahmat" and "brno"

  Scenario: A whole answer comes back with its verdict
    Given an agent of "tutor" that answers
    When "rahmat" asks the model "handbook"
    Then the status is 200 and the verdict is "ran"
    And the answer is the agent's, with the caller's request id
    And the agent was given the prompt's hashes and the text unchanged

  Scenario: A stream comes back as the agent sent it
    Given an agent of "tutor" that streams 5 tokens
    When "rahmat" asks the model "handbook" for a stream
    Then the status is 200 and the verdict is "ran"
    And the caller got 5 tokens, each once and in order, then the end

  Scenario: A plain service gets the call as it came
    Given an agent of "registry" that answers
    When "rahmat" posts "{}" to "/services/registry/records?year=1"
    Then the status is 200 and the verdict is "ran"
    And the agent got "POST" on "/records?year=1" as idempotent

  Scenario Outline: What cannot be served is refused with the reason
    When a caller sends <request>
    Then the status is <status> and the verdict is "not-run"
    And the error has the code "<code>" and says "<message>"

    Examples:
      | request                                | status | code                | message                        |
      | no key                                 | 401    | invalid_team_key    | Authorization: Bearer          |
      | a wrong key                            | 401    | invalid_team_key    | no team has this key           |
      | a model of another team's service      | 403    | service_not_allowed | may not call the service       |
      | another team's plain service           | 403    | service_not_allowed | may not call the service       |
      | an unknown model                       | 404    | unknown_model       | no service runs the model      |
      | an unknown adapter                     | 404    | unknown_model       | has no adapter                 |
      | an unknown service                     | 404    | unknown_service     | name of a plain service        |
      | an unknown path                        | 404    | unknown_path        | /v1/chat/completions           |
      | a GET of chat completions              | 405    | unknown_path        | does not take the method       |
      | a body that is not JSON                | 400    | bad_request         | expected a JSON object         |
      | a model that is a number               | 400    | bad_request         | Expected `str`, got `int`      |
      | messages without a role                | 400    | bad_request         | missing required field `role`  |
      | no tokens asked for                    | 400    | bad_request         | max_tokens of at least 1       |
      | JSON nested 65 deep in an unread field | 400    | bad_request         | at most 64 levels              |
      | JSON nested 5000 deep                  | 400    | bad_request         | at most 64 levels              |
      | a body above 4 MB                      | 413    | request_too_large   | at most 4194304 bytes          |
      | a chunked body above 4 MB              | 413    | request_too_large   | at most 4194304 bytes          |
      | an idempotency key of 256 characters   | 400    | bad_request         | at most 255 characters         |
      | a path with an encoded slash           | 400    | bad_request         | without empty or dot segments  |
      | a path with dots                       | 400    | bad_request         | without empty or dot segments  |

  Scenario: The models are those that the team may call
    When "rahmat" lists the models
    Then the models are "handbook, handbook:urdu"

  Scenario: A request that comes before any link is up is served
    # Symptom: the first requests after a cold start fail.
    # Sequence: router starts; a request arrives; the agent answers later.
    # Cause: no worker is eligible until the first Welcome.
    Given the address of an agent of "tutor" that is not up yet
    When "rahmat" asks the model "handbook" and the agent comes up meanwhile
    Then the status is 200 and the verdict is "ran"

  Scenario: A request that waits through a roll runs under the new bundle
    # Symptom: requests fail for a moment at each roll of new weights.
    # Sequence: a request waits for weights that no worker has; a bundle
    # with other weights, which a worker has, comes in force.
    # Cause: the request keeps to the bundle that it came under.
    Given an answering agent of "tutor" with the weights "w2"
    When "rahmat" asks the model "handbook" while the weights "w2" are rolled
    Then the status is 200 and the verdict is "ran"

  Scenario: A caller that hangs up before the choice costs no worker
    # Symptom: engines compute answers that nobody reads.
    # Sequence: the caller hangs up while the policy waits for knowledge.
    # Cause: there is no attempt yet that the hang-up could cancel.
    Given an agent of "tutor" that answers
    When "rahmat" hangs up while the policy prepares the choice
    Then the router has no open requests
    And 0 attempts were made in all

  Scenario: A request that no worker can serve is refused at once
    Given an agent of "registry" that answers
    When "rahmat" asks the model "handbook"
    Then the status is 503 and the verdict is "not-run"
    And the error has the code "no_worker_available" and says "tutor"
    And the answer says when to come back

  Scenario: A refusal that did not run is tried on another worker
    Given an agent of "tutor" that refuses with "queue_full"
    And an agent of "tutor" that answers
    When "rahmat" asks the model "handbook" until both agents were asked
    Then every status was 200
    And no request was started more than once on one agent

  Scenario: Retries are bounded by a budget
    # Symptom: an overload doubles itself.
    # Sequence: all workers refuse; each request is tried on each of them.
    # Cause: retries without a budget.
    Given 3 agents of "tutor" that refuse with "queue_full"
    When "rahmat" asks the model "handbook" 40 times
    Then every status was 503 and every verdict "not-run"
    And at most 54 attempts were made
    And every error has the code "queue_full" and a Retry-After of 2 s

  Scenario: A refusal after a fault does not say "not run"
    # Symptom: a caller is told "not run" of a request that ran.
    # Sequence: one agent accepts and restarts; the next one refuses.
    # Cause: the caller is told the last worker's verdict alone.
    Given an agent of "tutor" that restarts once after it accepted a request
    And an agent of "tutor" that refuses with "queue_full"
    When "rahmat" asks the model "handbook" until the first restarts
    Then the status is 502 and the verdict is "may-have-run"

  Scenario Outline: A call that must not be repeated runs at most once
    # Symptom: a certificate is issued twice.
    # Sequence: the agent accepts the call and then fails or goes away.
    # Cause: the router takes the call for lost and sends it elsewhere.
    Given 2 agents of "registry" that <fault>
    When "rahmat" posts "{}" to "/services/registry/certificates/7"
    Then the status is 502 and the verdict is "may-have-run"
    And 1 attempt was made in all

    Examples:
      | fault                                 |
      | fail and may have run it              |
      | restart after they accepted a request |

  Scenario: A call that must not be repeated is retried when it did not run
    Given an agent of "registry" that refuses with "draining"
    And an agent of "registry" that answers
    When "rahmat" posts to certificates until both agents were asked
    Then every status was 200
    And no request was started more than once on one agent

  Scenario: A repeatable request runs elsewhere when its agent restarts
    # Symptom: a request fails though another worker could answer it.
    # Sequence: the agent accepts, restarts, and knows nothing of it.
    # Cause: the new incarnation cannot give the old one's answer.
    Given an agent of "tutor" that restarts once after it accepted a request
    And an agent of "tutor" that answers
    When "rahmat" asks the model "handbook" until both agents were asked
    Then every status was 200

  Scenario: A broken link is re-attached where the answer stopped
    # Symptom: the caller sees a token twice, or misses one.
    # Sequence: 3 of 6 tokens arrive; the link breaks; it comes back.
    # Cause: the answer is resumed at another byte than the next one.
    Given an agent of "tutor" that streams 6 tokens and cuts the link after 3
    When "rahmat" asks the model "handbook" for a stream
    Then the caller got 6 tokens, each once and in order, then the end
    And the agent was asked to resume after 3 tokens
    And 1 attempt was made in all

  Scenario: Frames of other attempts and repeated bytes are dropped
    # Symptom: a caller reads part of another caller's answer.
    # Sequence: amid an answer a frame of another attempt arrives, and a
    # payload that had arrived before.
    # Cause: frames are taken by their sequence or order alone.
    Given an agent of "tutor" that streams 6 tokens with crossed and repeated frames
    When "rahmat" asks the model "handbook" for a stream
    Then the caller got 6 tokens, each once and in order, then the end
    And the router counted dropped frames

  Scenario: A prompt counts as load only until its first token
    # Symptom: routers avoid workers that are merely decoding.
    # Sequence: a stream's first tokens arrive; it goes on for a minute.
    # Cause: its prompt is taken for work still to be done.
    Given an agent of "tutor" that streams 6 tokens and holds after 2
    When "rahmat" reads 2 tokens of a stream
    Then the router sees 1 attempt of 0 blocks at the agent
    And the open stream gets all 6 tokens

  Scenario: A chunk that an agent left out is asked for
    # Symptom: a caller's answer lacks some bytes in its middle.
    # Sequence: an agent sends chunk 3, then chunk 5, then the end.
    # Cause: payloads are passed on without a look at their offsets.
    Given an agent of "tutor" that streams 6 tokens but leaves out the fourth
    When "rahmat" asks the model "handbook" for a stream
    Then the caller got 6 tokens, each once and in order, then the end
    And the agent was asked to resume after 3 tokens

  Scenario: A request given up before it was sent is never sent
    # Symptom: a refusal says "not run", and the request runs later.
    # Sequence: the agent stops reading; the link fills up; a call waits in
    # the router until its deadline; the agent reads again.
    # Cause: the call is refused, but stays in the queue of the link.
    Given an agent of "archive" that answers
    When the agent stops reading, "rahmat" fills the link and posts a call
    Then the status is 503 and the verdict is "not-run"
    And the agent never gets the call once it reads again

  Scenario: A caller that hangs up stops the request at its worker
    # Symptom: engines compute answers that nobody reads.
    # Sequence: the caller reads two tokens and closes its connection.
    # Cause: the router goes on reading the answer.
    Given an agent of "tutor" that streams 6 tokens and holds after 2
    When "rahmat" reads 2 tokens of a stream and hangs up
    Then the agent is told to cancel the attempt
    And the router has no open requests

  Scenario: Draining finishes open answers and refuses new requests
    # Symptom: a restart of a router cuts answers.
    # Sequence: a stream is open; the router drains; a request comes.
    # Cause: the router ends before its callers have their answers.
    Given an agent of "tutor" that streams 6 tokens and holds after 2
    When the router drains while "rahmat" reads a stream
    Then a new request is refused with 503 "draining" and its connection closed
    And the drain ends only after the open stream got all 6 tokens

  Scenario: A body that becomes whole while the router drains
    # Guards against requests that are taken late in a drain, and cut at its
    # end, while other routers could serve them.
    Given an agent of "tutor" that streams 6 tokens and holds after 2
    When the router drains while "rahmat" sends a body
    Then the request is refused with 503 "draining" and its connection closed
    And no agent was sent it

  Scenario: A request that comes as the router closes is told that it did not run
    # Symptom: at a restart of a router a caller's connection is reset, and
    # it can't know whether its request ran.
    # Sequence: the drain is over and the router closes; a caller sends a
    # request on a connection that it kept open.
    # Cause: the router closed its connections with the listener.
    Given an agent of "tutor" that streams 6 tokens and holds after 2
    When "rahmat" keeps a connection open while the router closes
    Then its next request is refused with 503 "draining"

  Scenario: A leaving agent gets no new work and finishes the old
    Given an agent of "tutor" that streams 6 tokens and holds after 2
    And an agent of "tutor" that answers
    When the first agent leaves while it streams to "rahmat"
    Then the next 5 requests go to the second agent
    And the open stream gets all 6 tokens

  Scenario: A stream cut for good goes on at another worker
    # Symptom: a caller's stream ends amid a sentence, or repeats words.
    # Sequence: 3 of 6 words arrive; the agent vanishes with its worker.
    # Cause: the rest exists nowhere; another worker has to continue from
    # the prompt and the words so far.
    Given an agent of "tutor" that chats 6 words and vanishes after 3
    And an agent of "tutor" that chats 6 words
    When "rahmat" asks the model "handbook" for 6 words until the first vanishes
    Then every stream has 6 words, one id, events numbered in order, its end
    And the usage counts 6 words of answer to 20 of prompt
    And the second agent was asked for 3 words after "w1 w2 w3"
    # Else a busy worker refuses it, although its caller has a first token.
    And the second agent may begin them as late as an answer may end

  Scenario: A stream that lacks only its end is ended
    # Symptom: an answer that was complete is reported as cut.
    # Sequence: all words and the last chunk arrive; the agent vanishes.
    # Cause: the end mark is taken for a part of the answer.
    Given an agent of "tutor" that chats 6 words and vanishes after 7
    When "rahmat" asks the model "handbook" for 6 words until the first vanishes
    Then every stream has 6 words, one id, events numbered in order, its end

  Scenario: A cut stream waits for a worker that restarts
    # Guards against half an answer: a stream breaks off, the only other worker
    # can't be reached, and the first one is back a moment later.
    Given an agent of "tutor" that chats 6 words and once fails after 3
    When "rahmat" asks the model "handbook" for 6 words
    And an agent of "tutor" that can't reach its worker joins amid the stream
    And the first worker fails and restarts 0.3 s later
    Then every stream has 6 words, one id, events numbered in order, its end
    And both agents were asked to go on

  Scenario: A cut stream that must not go on elsewhere ends with an error
    # Symptom: a caller takes half an answer for a whole one.
    # Sequence: 3 of 6 words arrive; the worker fails.
    # Cause: the connection ends as after a whole answer.
    Given 2 agents of "motors" that chat 6 words and fail after 3
    When "brno" asks the model "diagnosis" for 6 words
    Then the stream has 3 words and then an error event with "stream_broken"
    And 1 attempt was made in all

  Scenario: A fault of the router amid a stream breaks the connection
    # Symptom: a caller takes half an answer for a whole one.
    # Sequence: an exception ends the handler after the first words.
    # Cause: the server library ends the chunked answer as usual.
    Given an agent of "tutor" that streams 6 tokens
    When the router fails amid a stream to "rahmat"
    Then the caller sees that the answer was cut

  Scenario: A request to an agent that falls silent runs elsewhere
    # Symptom: requests wait for their deadline after a VM has gone.
    # Sequence: the agent accepts, then nothing comes, not even a reset.
    # Cause: a silent link looks like a slow worker.
    Given an agent of "tutor" that freezes after it accepted a request
    And an agent of "tutor" that answers
    When "rahmat" asks the model "handbook" until both agents were asked
    Then every status was 200

  Scenario: A slow caller holds the agent back
    # Symptom: a router's memory grows with callers that read slowly.
    # Sequence: an agent sends a long answer; the caller doesn't read it.
    # Cause: bytes are confirmed before the caller's socket took them.
    Given an agent of "registry" that answers 32 MB and obeys the window
    When "rahmat" asks for it and reads only once the agent is held back
    Then the caller has all 32 MB

  Scenario: A roll of new weights moves requests to workers that have them
    # Symptom: an answer comes from older weights, or reuses their cache.
    # Sequence: a roll changes the weights; one of two workers has them.
    # Cause: a router goes on asking for what it asked for before.
    Given an agent of "tutor" that answers
    And an answering agent of "tutor" with the weights "w2"
    When a bundle with the weights "w2" is rolled
    And "rahmat" asks the model "handbook" 4 times
    Then every status was 200
    And only the second agent was asked, under the weights "w2"
