Feature: Unusual behaviour of the peers on a gateway's connections
  A gateway process runs against stand-ins for the platform's store and engines.

  Background:
    Given a gateway with a stand-in store and stand-in engines

  @promise.answer
  Scenario: An engine answers before it has read all of a long body
    Given the next answer of a plain engine has the fault "early"
    When an order of 60000 bytes is sent
    Then the early answer is received completely
    And the engine reads the rest of the body unchanged
    And another order is answered completely

  @promise.answer
  Scenario: A caller waits no longer than the timeout for an engine that does not read a long body
    Given bodies may have up to 8000000 bytes
    And the next answer of a plain engine has the fault "stuck"
    When an order of 7900000 bytes is sent
    Then within 3.5 s it is answered 504
    And only one engine received the order

  Scenario: A caller that sends its request head too slowly is refused and disconnected
    Given request heads must arrive within 0.5 s
    When a caller sends only half of a request head
    Then within 2 s the caller receives 408 and the connection is closed

  @failure.lost_answer
  Scenario: Late, unanswered writes to the store do not move a rollout back
    Given the store applies writes late and does not answer them
    When the operator orders a rollout of version "v2" of "models" and its engines start
    Then the rollout is completed, and its stage never decreases
    And a chat runs on version "v2"

  Scenario: An unreachable engine does not use up the retry budget
    Given a gateway without a retry budget
    And the engine "plain-1" is in zone "giarre-d"
    And the engine "plain-0" does not listen
    When 1 reads are sent one after the other
    Then each read got the answer to its own request
    And the log says that an attempt at "plain-0" failed with the reason "unreachable"

  Scenario: The log gives the reason why an answer was not forwarded
    Given the next answer of a plain engine has the fault "error"
    When 1 reads are sent one after the other
    Then each read got the answer to its own request
    And the log says that an attempt at "plain" failed with the reason "answered 500"

  @failure.silent
  Scenario: A gateway that no longer receives engine updates becomes unready
    Given the store no longer answers calls about engines
    Then within 7 s the gateway reports that it is not ready

  Scenario: Outdated lists of gateways cause no failures
    Given lists that the store may answer from old data are empty
    When 8 reads are sent one after the other
    Then each read got the answer to its own request
