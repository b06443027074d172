Feature: Engines that are late to learn that a request was given up
  A gateway process runs with an engine that does not read for a while, as one that is suspended or
  behind a slow link, or that goes on with a request until its connection is known to be lost.

  # Guards against a request that an engine begins after the gateway has sent it to another one (TWICE).
  @promise.once
  Scenario: A long request that an engine reads late, after it was given up, does not arrive whole
    Given a gateway and an engine that reads nothing for 4 s
    When a read with a body of 400 kB is sent
    Then the other engine answers it
    And the late engine does not get the whole request

  # Guards against an engine that takes a closed connection for one that still waits for its answer (TWICE).
  @promise.once
  Scenario Outline: An engine learns by a reset that <what>
    Given a gateway and an engine that reads requests and never answers
    When <what>
    Then the engine's connection is reset, not closed in order

    Examples:
      | what                                      |
      | a read fails over to the other engine     |
      | the caller of a read leaves               |
      | a stream fails over to the other engine   |
      | the deadline of an order passes           |
      | the gateway ends with a read that it runs |

  # Guards against resets of connections whose responses were read to their ends.
  Scenario: Idle connections are closed in order
    Given a gateway and an engine that answers and keeps connections open
    When a read is answered and its connection is no longer used
    Then the engine's connection is closed in order, not reset
