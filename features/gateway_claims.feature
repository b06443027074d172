Feature: What a gateway takes for an answer of the store, of the platform or of another gateway
  Answers there name no call. The store, or a proxy before it, answers late or writes an answer twice
  on kept connections. The clients run here without processes.

  # Guards against counts that are lost, and a stop that ends in an error, when one more send meets one under way.
  @promise.billed
  Scenario: A gateway stops while its counts wait for an answer
    Given a gateway whose counts go to another one that answers after 0.1 s
    When it sends its counts, counts 3 more requests and sends them before the answer
    Then the other gateway has got all its counts, and no send has failed

  # Guards against the objects of one kind which are taken for those of another one (LOST).
  @failure.store_outage
  Scenario: A copy of the list of one kind is not taken for the list of another one
    Given a store that writes each answer once more when the next call comes
    When the list of "config" is read, and then that of "servers"
    Then each has its own objects

  # Guards against an engine that is removed again by the copy of an earlier change (LOST).
  @failure.store_outage
  Scenario: A copy of the answer to a watch is not taken for the next one
    Given a store that writes each answer once more when the next call comes
    When the changes of "servers" are watched twice
    Then the second watch has no changes of the first one, or no answer

  # Guards against engines that all vanish, as the answer to a watch is taken for an empty list (LOST).
  @failure.store_outage
  Scenario Outline: The answer to a watch is not taken for a list, after a copy of one <what> changes
    Given a store that writes each answer once more when the next call comes
    When "servers" is watched twice, <what> changes, and then listed twice
    Then each list has the object that is there, and the second one is no failure

    Examples:
      | what    |
      | with    |
      | without |

  # Guards against answers of the store that a process had before its settings changed.
  @promise.config
  Scenario: No call goes to the store's former address
    Given two stores, and a client with a kept connection to the first one
    When the address of the second one is set, and an object is read
    Then the second one has got the call

  # Guards against a report of usage that is taken for accepted by the copy of an earlier one's answer.
  @promise.billed @failure.lost_answer
  Scenario: A copy of the answer to a report is not taken for the next one's answer
    Given a service for reports that writes each answer once more when the next call comes, and then refuses it
    When two windows are reported
    Then the second report is not taken for accepted

  # Guards against a holder of a duty that goes on after another one has taken it.
  @failure.lost_answer @failure.lease_lapse
  Scenario: A copy of the answer to a renewal does not renew a duty
    Given a store that writes each answer once more when the next call comes
    When a gateway renews the duty, another one takes it over, and the first one renews again
    Then the first one holds the duty no longer than by its first renewal
