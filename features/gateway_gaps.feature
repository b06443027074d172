Feature: Records of engines that are missing after the store was not heard
  Load pattern: one gateway, some or all of them are cut off from the store or the store is down while
  engines leave. Only an outage of the store itself makes records expire of engines that live.

  # Guards against an engine that leaves and is kept because this gateway's own calls fail (DRAIN).
  @promise.drain @failure.store_outage
  Scenario: The records of engines that leave while only this gateway is cut off
    Given 4 engines, and a gateway that is cut off for 6 s while others hear the store
    When its next list has all but 1 of the engines
    Then 1 of them is out of use at once

  @promise.drain @failure.store_outage
  Scenario: Most engines leave while only this gateway is cut off
    Given 4 engines, and a gateway that is cut off for 6 s while others hear the store
    When its next list has all but 3 of the engines
    Then 3 of them are out of use at once

  # Guards against an engine that leaves and is kept by a gateway that is alone, or cut off with all others.
  @promise.drain @failure.store_outage
  Scenario: An engine leaves while no gateway hears the store
    Given 4 engines, and no gateway that hears the store for 6 s
    When its next list has all but 1 of the engines
    Then 1 of them is out of use at once

  # Guards against a late failure of another call that renews the time for which engines are kept.
  @promise.drain @failure.store_outage
  Scenario: An engine leaves after the store is heard again, and late failures come in
    Given 4 engines, and no gateway that hears the store for 6 s
    When its next list has all but 0 of the engines
    And calls that were sent before fail for another 3 s
    And the record of 1 engine is removed
    Then 1 of them is out of use at once

  @promise.drain @failure.store_outage
  Scenario: An engine leaves while the store is not heard for less time than records last
    Given 4 engines, and no gateway that hears the store for 1.5 s
    When its next list has all but 4 of the engines
    Then 4 of them are out of use at once

  @failure.store_outage
  Scenario: Records expire in an outage of the store
    Given 4 engines, and no gateway that hears the store for 6 s
    When its next list has all but 4 of the engines
    Then 0 of them are out of use at once
    And they are in use until they have had 2 s, and out of use after 2.5 s

  @failure.store_outage
  Scenario: Some records are written again before the first list after an outage
    Given 8 engines, and no gateway that hears the store for 3 s
    When its next list has all but 3 of the engines, and 4 were written again
    Then 0 of them are out of use at once
    And they are in use until they have had 2 s, and out of use after 2.5 s

  @promise.drain @failure.store_outage
  Scenario: The time for which engines are kept never outlasts the time in which a gateway counts as cut
    Then it ends within 2.95 s of the return, and not before 0.8 s after it is heard

  # Guards against requests to an engine that left, from a gateway whose path to the store was cut.
  @promise.drain @failure.store_outage
  Scenario Outline: An engine leaves right after a gateway's path to the store was cut
    Given a gateway that reaches the store through a path that can be cut
    When its path is cut for 4.5 s, and an engine leaves <when>
    Then that engine gets no request 3 s after the cut and 2 s after it left, or later

    Examples:
      | when                |
      | 0.3 s after its end |
      | 1 s before its end  |
