Feature: Sessions that come to several gateways
  Callers send the requests of a session to one gateway and the next ones to another, as they do when
  connections are balanced anew.

  # Guards against sessions that change their version early, as another gateway does not know them (PINNED).
  @promise.version @failure.rollout
  Scenario: A session that comes to another gateway early in a rollout keeps its version
    Given three gateways that connect to the engines directly
    When a chat of each of 300 sessions is sent to the first gateway
    And a rollout of the models with a distant deadline is under way at all gateways
    And a chat of each of these sessions is sent to the second gateway
    Then at most 3 of these chats run on the new version
    And the trace of each covered one says that another gateway told of its session

  # Guards against sessions that go back from a good version, as a gateway remembers the old one (PINNED).
  @promise.version @failure.rollout
  Scenario: A session that has moved in the second stage does not go back at its first gateway
    Given three gateways that connect to the engines directly
    When a chat of each of 300 sessions is sent to the first gateway
    And a rollout of the models with a distant deadline is under way at all gateways
    And the rollout has come to its second stage at all gateways
    And a chat of each of these sessions is sent to the second gateway
    And a chat of each of these sessions is sent to the first gateway again
    Then some sessions have moved to the new version, and none has gone back

  # Guards against sessions that change their version as their gateway's memory ends with it (PINNED).
  @promise.version @failure.rollout
  Scenario: A session whose gateway stops as planned before a rollout keeps its version early in it
    Given three gateways that connect to the engines directly
    When a chat of each of 300 sessions is sent to the first gateway
    And the first gateway is stopped as planned
    And a rollout of the models with a distant deadline is under way at all gateways
    And a chat of each of these sessions is sent to the second gateway
    Then at most 3 of these chats run on the new version

  # Guards against sessions that change their version at a gateway which has just started (PINNED).
  @promise.version @failure.rollout
  Scenario: A gateway that starts in the first stage learns which sessions are held before it takes callers
    Given three gateways that connect to the engines directly
    When a chat of each of 300 sessions is sent to the first gateway
    And a rollout of the models with a distant deadline is under way at all gateways
    And the second gateway is restarted, and takes callers as soon as it is ready
    And a chat of each session that the first stage covers is sent to the second gateway
    Then at most 3 of these chats run on the new version

  # Guards against sessions that go back at a gateway which learns of a stage late (PINNED).
  Scenario: A gateway that the store tells late goes by the stage that other gateways report
    Given a gateway that knows a rollout in its second stage from the store
    When another gateway reports the last stage
    Then every session runs on the new version there
    And a report of an earlier order, of the store before it came back, or of a deleted order counts for nothing

  # Guards against sessions that change their version between gateways, for whatever reason (PINNED).
  @promise.version @failure.rollout
  Scenario Outline: Sessions come to another gateway with each request during a rollout, <case>
    Given 10 simulated rollouts with 12 gateways and 1500 sessions at a time, <trouble>
    Then new sessions reach the new version in the first half
    And at most <most> requests of a simulation change their session's version early or go back

    Examples:
      | case                               | trouble                                             | most |
      | undisturbed                        | without trouble                                     | 0    |
      | while datagrams are lost           | with a fifth of the datagrams lost and repeated     | 0    |
      | while the store tells some late    | with a third of the gateways told 3 s late          | 0    |
      | while gateways are restarted       | with half of the gateways restarted as planned      | 0    |
      | restarts in the first stage        | with half of the gateways restarted after the order | 0    |

  Scenario: Gateways that ignore what the others tell are noticed
    Given 1 simulated rollouts with 12 gateways and 1500 sessions at a time, with no word of other gateways
    Then over 10 requests change their session's version early

  # Guards against sessions that only one gateway knows, as a datagram has no room for all rollouts (PINNED).
  Scenario: Many services have a rollout at a time
    Given two gateways that follow rollouts of 7 services, of which one gateway holds a session each
    Then the other one knows all held sessions after 5 s of datagrams
