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
    And a new engine at its address is used, and so is the engine once it has started again
    And an engine that another gateway reports as leaving is used only if there is no other
    And a request that waits for a connection to an engine is not sent once the engine leaves
