Feature: Operator commands and the callers' interface

  Scenario: Checking a document reports all its errors at once, with line and remedy
    When a document with 6 errors is checked
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
    Then the command prints "newest config version reported: "
    When an operator asks for an explanation of the first request
    Then the command prints "answered the request from"
    When an operator draws the timeline
    Then the picture shows the processes

  @promise.config
  Scenario: Promotion stores the same bytes and is refused if production has changed
    Given the ferrante deployment
    When a document is stored for the trial environment
    And an operator promotes it
    Then production has the same bytes
    When production changes before an operator promotes again
    Then the command is refused with exit code 3

  @promise.not_run
  Scenario Outline: A request with <fault> is refused as not run
    Given the ferrante deployment with engines=1 services=1
    When a caller sends a request with <fault>
    Then it is refused with status <status> as not-run
    And no request ran

    Examples:
      | fault                   | status |
      | no key                  | 401    |
      | an unknown key          | 401    |
      | a body that is not JSON | 400    |
      | an invalid request id   | 400    |
      | an invalid timeout      | 400    |
      | an oversized body       | 413    |
      | an unknown service      | 404    |

  Scenario: Invalid input at each listening port does not end the process
    Given the ferrante deployment with engines=1 services=1
    When random bytes are sent to each listening port
    And a peer without the secret connects to engine-1
    And 2 chats of 4 tokens are sent
    Then all requests are answered
    And the peer without the secret was refused

  Scenario: The quota of an organisation is enforced
    Given the ferrante deployment with engines=1 services=1
    When visitors sends 60 chats of 1 tokens
    Then some requests are answered and the others are refused for the quota

  Scenario: Properties of codecs, documents, edits, subsets and tokens hold for generated values
    Then every message is the same after encoding and decoding
    And the codec decodes any bytes or refuses them
    And an edited document differs only where it was edited
    And a change of a document gives the new one, and any other result is detected
    And nearly every server of a large pool is chosen by some entry process
    And a session token of one organisation is not valid for another

  Scenario: A request that is admitted as its wait times out does not leak capacity
    When capacity becomes free in the same event loop iteration in which a wait times out
    Then the server holds the request only if it was admitted
