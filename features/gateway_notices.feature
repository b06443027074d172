Feature: What engines say of themselves in their answers
  Load pattern: engines leave, or want no requests for some seconds, and say so in their answers while
  the store still names them ready, or is away. Other engines serve meanwhile; if there are none,
  callers are told at once when to come back.

  @promise.drain
  Scenario Outline: An engine that says in its <answer> that it leaves gets no more requests
    Given a gateway with a stand-in store and stand-in engines
    And one engine of each service says in each <answer> that it leaves
    When 12 reads and 12 chats are sent one after the other
    Then each of those engines got 1 request
    And all of them but one of each kind are answered by the others

    Examples:
      | answer   |
      | response |
      | refusal  |
      | error    |

  @promise.drain @failure.store_outage
  Scenario: An engine leaves while the store is away
    Given a gateway with a stand-in store and stand-in engines
    And one engine of each service says in each response that it leaves
    When 12 reads and 12 chats are sent while the store is down
    Then each of those engines got 1 request
    And all of them but one of each kind are answered by the others

  @promise.drain
  Scenario: An engine that has said that it leaves is out of use for good
    Then an engine that leaves is not used, also if its record says ready or it is the only one
    And it is gone once its record is removed, also around an outage of the store
    And it stays out of use if its record returns without a restart
    And a new engine at its address is used, and so is the engine once it has started again
    And an engine that another gateway reports as leaving is used only if there is no other
    And a request that waits for a connection to an engine is not sent once the engine leaves

  @failure.overload
  Scenario: An engine that asks for a pause gets none until it is over
    Given a gateway with a stand-in store and stand-in engines
    And one plain engine is full and asks for a pause of 2.5 s
    When reads are sent for 4 s
    Then that engine got 1 request in the first 2.5 s, and more after that
    And all reads are answered

  @failure.overload
  Scenario: What is kept of a pause that an engine asks for
    Then a Retry-After of 2.5 is a pause of 2.5 s
    And a Retry-After of 0 is a pause of 0 s
    And a Retry-After of -3 is a pause of 0 s
    And a Retry-After of nan is a pause of 0 s
    And a Retry-After of inf is a pause of 120 s
    And a Retry-After of 4000 is a pause of 120 s
    And a Retry-After of soon is a pause of 0 s
    And a Retry-After of Fri, 04 Dec 2026 22:00:00 GMT is a pause of 0 s
    And an engine that wants a pause gets nothing, also as the only one or after other answers
    And it gets no more than a cold one in the first second after that
    And requests wait for the first pause that ends in time, and are refused if none does

  @failure.overload
  Scenario: All engines ask for a long pause
    Given a gateway with a stand-in store and stand-in engines
    And every plain engine is full and asks for a pause of 30 s
    When 8 reads are sent in turn
    Then the engines got 2 requests in all
    And each read is refused within 0.5 s, to come back in 25 to 40 s

  @failure.overload
  Scenario: A pause ends before the deadline of the requests that wait for it
    Given a gateway with a stand-in store and stand-in engines
    And every plain engine is full and asks for a pause of 0.8 s
    When 8 reads are sent at the same time
    Then all reads are answered after the pause
