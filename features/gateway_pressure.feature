Feature: Who goes first, and who may ask a larger model, while engines are busy
  Load pattern: a burst of the least urgent kind of request beside the most urgent one, at engines that
  read prompts of both. An answer that a larger model makes again takes the engine time of ten others.

  Scenario: The wait at engines grows from nothing to more than the latency target
    Then the least urgent requests stop to ask larger models first, and the most urgent ones last
    And answers that are surely wrong are made again the longest
    And no request is ever surer to be asked again than while engines are idle
    And while engines are idle all kinds of requests ask larger models alike

  Scenario: A burst of the least urgent kind fills engines
    Given 12 engines with 2.4 s of prompts before them in all, seen by gateways in parts
    Then requests of priority 2 with a target of 2 s keep all first answers but those surely wrong
    And requests of priority 0 with a target of 2 s ask a larger model as usual

  Scenario: Kinds of requests with different targets share engines
    Given routes with targets of 1, 2 and 3 s at one service, and a plain one with 9 s
    Then waits are compared with the longest target of the service's streams

  Scenario: Hundreds of requests a second look at thousands of engines
    Then the wait is computed at most 20 times a second, whatever the number of requests

  Scenario: Priorities of organisations and routes
    Then an organisation's priority goes before its route's, and the route's decides between equals
    And priorities out of range count as the nearest one in range

  Scenario: Engines learn how urgent a request is, and callers cannot say so themselves
    Given a configuration with routes and organisations of different priorities
    When an urgent and a less urgent organisation ask for streams that claim to be the most urgent
    Then the engine got the rank of each, the urgent organisation's lower

  Scenario: A configuration that ranks all requests alike
    Given a gateway with a stand-in store and stand-in engines
    When a stream is asked for
    Then the engine got no rank
