Feature: Requests whose callers leave
  A gateway process runs with stand-in engines. A request that no engine has got leaves with its
  caller, wherever it waits; an order that an engine may have got is not cut, and not sent again.

  # Guards against orders that wait for engines and are carried out after their callers have left (GONE).
  @promise.gone
  Scenario Outline: A <kind> that waits for the end of the engines' pause leaves with its caller
    Given a gateway with a stand-in store and stand-in engines
    And every engine is full and asks for a pause of 1 s
    When 3 <kind>s are sent of which 2 are given up after 0.2 s
    Then only the <kind> that was kept reaches an engine after the pause

    Examples:
      | kind  |
      | order |
      | read  |
      | chat  |
      | talk  |

  # Guards against orders that go to a second engine after their callers have left (GONE).
  @promise.gone
  Scenario Outline: A <kind> that waits for a connection to an engine leaves with its caller
    Given a gateway whose first engine of each service accepts no connection
    When 8 <kind>s are sent of which 8 are given up after 0.2 s
    Then no <kind> reaches an engine later than 0.3 s after that

    Examples:
      | kind  |
      | order |
      | read  |
      | talk  |

  # Guards against an order that an engine refuses, and that then goes to another without a caller (GONE).
  @promise.gone
  Scenario: An order that is refused after its caller has left goes to no other engine
    Given a gateway with a stand-in store and stand-in engines
    And the next answer of a plain engine is a refusal after 0.5 s
    When 1 orders are sent of which 1 are given up after 0.2 s
    Then no order has run after 1 s

  # Guards against an order that is cut while an engine runs it.
  @promise.gone
  Scenario: An order that an engine runs goes on when its caller leaves
    Given a gateway with a stand-in store and stand-in engines
    And the engines take 0.6 s for an answer
    When 1 orders are sent of which 1 are given up after 0.2 s
    Then the order has run to its end, once

  # Guards against an engine that goes on with a stream that nobody reads (GONE).
  @promise.gone
  Scenario Outline: A <kind> that an engine runs is cancelled when its caller leaves
    Given a gateway with a stand-in store and stand-in engines
    And the engines pause 0.1 s between the events of long streams
    When 1 <kind>s are sent of which 1 are given up after 0.2 s
    Then within 0.5 s the run of each <kind> is cancelled

    Examples:
      | kind |
      | chat |
      | talk |

  # Guards against a request that is sent although its caller had left when it was read (GONE).
  @promise.gone
  Scenario: An order that arrives together with its caller's close is not sent
    Given a gateway with a stand-in store and stand-in engines
    When 5 orders and the closes of their connections arrive at the same time
    Then no order has run after 0.5 s
