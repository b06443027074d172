Feature: What peers of a gateway do on their connections
  A real gateway process between stand-ins of the platform's store and engines.

  Background:
    Given a gateway between stand-ins

  @promise.answer
  Scenario: An engine answers before it has read a long body, and reads on later
    Given the next plain answer is "early"
    When an order of 60000 bytes is sent
    Then it is answered whole and early
    And the engine reads the rest of the body as it was sent
    And another order is answered whole

  @promise.answer
  Scenario: An engine that never reads a long body holds its caller no longer than the timeout
    Given bodies may have 8000000 bytes
    And the next plain answer is "stuck"
    When an order of 7900000 bytes is sent
    Then within 3.5 s it is answered 504
    And the order has reached one engine only

  Scenario: A caller whose head is slow is told so and closed
    Given heads must come within 0.5 s
    When a caller sends half a head
    Then within 2 s it gets 408 and is closed

  @failure.lost_answer
  Scenario: Writes that are done late and never answered do not set a roll-out back
    Given the store does writes late and does not answer them
    When the operator orders version "v2" of "models" and its engines start
    Then the roll-out is completed, and its stage never falls
    And a chat goes to version "v2"

  Scenario: An engine that cannot be reached costs nothing of the retry budget
    Given a gateway without a retry budget
    And the engine "plain-1" is in zone "giarre-d"
    And the engine "plain-0" does not listen
    When 1 reads are sent one after the other
    Then each read got the answer to its own request
    And the log says that "plain-0" was left as "unreachable"

  Scenario: The log says why an answer was not passed on
    Given the next plain answer is "error"
    When 1 reads are sent one after the other
    Then each read got the answer to its own request
    And the log says that "plain" was left as "answered 500"

  @failure.silent
  Scenario: A gateway that no longer hears of the engines sends callers elsewhere
    Given the store no longer answers about engines
    Then within 7 s the gateway says that it is not ready

  Scenario: Lists of gateways that are seconds old take nothing away
    Given lists of the store that may be old are empty
    When 8 reads are sent one after the other
    Then each read got the answer to its own request
