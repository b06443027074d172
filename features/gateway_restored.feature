Feature: The store comes back from an older copy
  The store loses what was written since the copy, uses those revisions again, and says so by its era.
  Operators and engines write again what they had written. Load pattern: requests and changes go on
  while gateways hold objects of both eras.

  # Guards against gateways that ignore a restored store and ask it again and again.
  @promise.config @failure.store_outage
  Scenario: Changes are followed after the store has come back
    Given a gateway with a stand-in store and stand-in engines
    And a copy of the store
    When the operator adds routes until configuration 9
    And the store comes back from the copy after 0.5 s
    And the operator writes configuration 9 again, and then 10 with one more route
    Then within 2 s the new route is served
    And the gateway has called the store at most 40 times since it came back

  # Guards against a watch that goes on from a revision which was given out again.
  @promise.leaving @promise.config @failure.store_outage
  Scenario: A change whose revision was given out again is seen
    Given a gateway with a stand-in store and stand-in engines
    And a copy of the store
    When the operator adds routes until configuration 9
    And the store comes back from the copy, with engine "plain-0" draining and 20 more writes
    Then within 2 s the engine "plain-0" gets no more requests

  # Guards against an engine that is used again because the copy is older than its leaving.
  @promise.leaving @failure.store_outage
  Scenario Outline: An engine that was <state> stays out of use when the copy says ready
    Given a gateway with a stand-in store and stand-in engines
    And the engine "plain-0" has written its entry 5 times
    And a copy of the store
    When the engine "plain-0" is <state>, and the gateway has seen it
    And the store comes back from the copy after 0.5 s
    Then the engine "plain-0" gets no requests for 3 s
    When the engine "plain-0" has started again under its name
    Then within 2 s the engine "plain-0" gets requests

    Examples:
      | state    |
      | draining |
      | removed  |

  # Guards against an evacuated zone that gets requests until the operator has written again.
  @promise.zone_out @failure.store_outage
  Scenario: A zone stays evacuated until the operator has written it again
    Given a gateway with a stand-in store and stand-in engines
    And the engine "plain-0" is in zone "catania-b"
    And a copy of the store
    When the operator evacuates the zone "etna-a"
    Then within 2 s the engine "plain-1" gets no more requests
    When the store comes back from the copy after 0.5 s
    Then the engine "plain-1" gets no requests for 1.5 s
    When the operator evacuates the zone "etna-a"
    Then the engine "plain-1" gets no requests for 3 s
    When the operator takes the zone "etna-a" back
    Then within 2 s the engine "plain-1" gets requests

  # Guards against an evacuation that the operator has ended, and that is kept for good.
  @promise.zone_out @failure.store_outage
  Scenario: A zone that is missing from the copy is back in use if it is not written again
    Given a gateway with a stand-in store and stand-in engines
    And the engine "plain-0" is in zone "catania-b"
    And a copy of the store
    When the operator evacuates the zone "etna-a"
    Then within 2 s the engine "plain-1" gets no more requests
    When the store comes back from the copy after 0.5 s
    Then within 9 s the engine "plain-1" gets requests

  # Guards against a finished rollout that begins anew.
  @promise.session @failure.store_outage @failure.rollout_cut
  Scenario: A rollout that was completed is completed in the store again
    Given a gateway with a stand-in store and stand-in engines
    And version "v2" of "plain" is in the first stage of a rollout of 60 s
    And a copy of the store
    When another gateway completes the rollout of "plain"
    And the store comes back from the copy after 0.5 s
    Then within 2.5 s the rollout of "plain" is completed again, and all its requests run on "v2"

  # Guards against a gateway that the others forget until its next heartbeat.
  @failure.store_outage
  Scenario: A gateway writes its record again
    Given a copy of the store without gateways
    When the store comes back from the copy after 0.5 s
    Then within 4 s the gateway's record is in the store

  # Guards against a loop of calls without a pause, whatever the store answers.
  @failure.store_outage
  Scenario Outline: A store that is <mode> is not asked in a loop
    Given a gateway with a stand-in store and stand-in engines
    When the store enters the mode "<mode>"
    And 4 s pass
    Then the gateway has called the store at most 90 times meanwhile
    And requests are answered

    Examples:
      | mode  |
      | gone  |
      | hasty |
      | busy  |
      | down  |

  # Guards against an answer about another object's change that has the same number.
  Scenario: What is known by a revision before the copy came back is not used after that
    Given a stand-in store that has come back from a copy and has used its revisions again
    Then a watch from a revision before that is answered as if its history were gone
    And a write on condition of a revision before that conflicts, and changes nothing
    And a list that was answered before that is older than one after it
    And a gateway that reads through another one gets what the copy changed, also what it lacks
