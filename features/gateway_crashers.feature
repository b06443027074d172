Feature: Requests that crash engines and reach several gateways
  Three gateway processes with six engines. Load pattern: requests that share a part of their prompts,
  no two alike, arrive at each gateway in turn, between sound ones of the same caller; each crashes the
  engine that begins to answer it, which is back after some seconds.

  # Guards against each gateway finding out by itself, at the cost of engines, and after each restart.
  @failure.poison @failure.vm_lost
  Scenario: Gateways find a crashing prompt part together, and one that was killed knows it again
    Given three gateways that connect to the engines directly
    When 6 chats with a prompt part that crashes engines are sent to the gateways in turn
    Then engines have crashed at most 6 times
    When every gateway has heard of the part
    Then 9 more of them are refused by the gateways, and none runs
    When a gateway is killed and started again
    Then 3 more of them are refused by that gateway, and none runs
    And sound chats are answered by every gateway

  # Guards against a prompt part that crashes engines after some events and is never blamed (LOST, BUDGET).
  @failure.poison
  Scenario Outline: Gateways find a prompt part that crashes engines after <events> events
    Given three gateways that connect to the engines directly
    And engines that send <events> events before a request crashes them
    When 6 chats with a prompt part that crashes engines are sent to the gateways in turn
    Then engines have crashed at most 6 times
    When every gateway has heard of the part
    Then 9 more of them are refused by the gateways, and none runs
    And sound chats are answered by every gateway

    Examples:
      | events |
      | 0      |
      | 2      |
      | 6      |

  # Guards against a request that crashes engines after some events and is never refused (BUDGET).
  @failure.poison @failure.vm_lost
  Scenario Outline: Gateways find a request that crashes engines after <events> events
    Given three gateways that connect to the engines directly
    And engines that send <events> events before a request crashes them
    When a chat that crashes engines is sent to the gateways in turn, 6 times
    Then engines have crashed at most 6 times
    When every gateway has heard of the chat
    Then it is refused 9 more times by the gateways, and does not run
    When a gateway is killed and started again
    Then it is refused 3 more times by that gateway, and does not run
    And sound chats are answered by every gateway

    Examples:
      | events |
      | 0      |
      | 3      |
