Feature: What operators and callers see

  Scenario: Checking a document reports all its errors at once, with line and remedy
    When a document with 6 faults is checked
    Then 6 errors are reported, each with its line and remedy

  Scenario: Operators change, promote and inspect a running fleet
    Given the ferrante deployment
    When 2 chats of 4 tokens are sent
    And an operator runs withdraw garzone@1
    And an operator runs rollout start garzone --old 1 --new 2 --step-seconds 1
    And an operator runs rollout pause garzone
    And an operator runs zone out giarre-d
    Then the document in force keeps its comments
    When an operator runs status
    Then the operator reads "newest config version reported: "
    When an operator asks what became of the first request
    Then the operator reads "answered the request from"
    When an operator draws the time line
    Then the picture shows the processes

  @promise.config
  Scenario: Promotion puts the same bytes in force, and is refused if production moved on
    Given the ferrante deployment
    When a document is tried in the trial environment
    And an operator promotes it
    Then production has the same bytes
    When production moves on while an operator promotes again
    Then the operator is refused with exit code 3

  @promise.not_run
  Scenario Outline: A caller with <fault> is refused as not run
    Given the ferrante deployment with engines=1 services=1
    When a caller sends a request with <fault>
    Then it is refused with status <status> as not-run
    And nothing ran

    Examples:
      | fault                  | status |
      | no key                 | 401    |
      | an unknown key         | 401    |
      | a body that is no JSON | 400    |
      | a bad request id       | 400    |
      | a bad timeout          | 400    |
      | a body that is too big | 413    |
      | an unknown service     | 404    |

  Scenario: Hostile input at each listening port leaves the process alive
    Given the ferrante deployment with engines=1 services=1
    When random bytes are sent to each listening port
    And a peer without the secret connects to engine-1
    And 2 chats of 4 tokens are sent
    Then all requests are answered
    And the peer without the secret was refused

  Scenario: Quotas, and keys of other organisations
    Given the ferrante deployment with engines=1 services=1
    When visitors sends 60 chats of 1 tokens
    Then some requests are refused as not-run for their quota

  Scenario: Properties of codecs, the document, editing and subsets hold for drawn values
    Then every message survives encoding and decoding
    And no bytes make the codec fail in another way than by refusing them
    And an edited document differs only where it was edited
    And a change of a document gives the new one, and nothing else does
    And every server of a large pool is chosen by some entry process
    And a session token of one organisation is worth nothing to another

  Scenario: A request admitted in the very moment its wait runs out does not leak its place
    When room comes up in the same turn of the event loop in which a wait runs out
    Then the server holds what it says it holds
