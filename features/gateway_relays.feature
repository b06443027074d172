Feature: Gateways of an availability zone read the store through one of them
  The decision modules run without a network. The processes run on three gateways of one zone, each
  with its own proxy to the store. Load pattern: dozens of gateways hold the same watches, and each
  change makes all of them call the store again.

  Scenario: Copies that follow the store through changing relays stay complete
    Then a copy that reads from relays at different revisions never goes back and ends up equal

  @promise.leaving
  Scenario: The store withholds changes from its watches before it drops its history
    Then a copy whose relay's watches withheld changes is equal after the relay's next list

  @failure.vm_lost
  Scenario: All gateways are restarted together, with thousands of engines
    Then a copy that is older than its relay's first list gets the names of what it has, no objects

  Scenario: A copy that is behind all remembered deletions learns which objects are left
    Then after more deletions than are remembered the copy still ends up equal

  Scenario: The gateways of a zone agree on whom to read through without an election
    Then the gateway with the widest link is everybody's first choice and reads from the store
    And gateways of other zones and gateways that were not heard are no choice
    And reading through others never forms a loop

  Scenario: A relay that failed is left for a while
    Then after one failure the next relay is chosen, and after two the store
    And the first relay is chosen again later

  Scenario: A relayed view is doubted early enough to keep the tightest bound
    Then a view is doubted after half of the tightest bound, and bounds of 2 s allow no relay

  @promise.leaving
  Scenario: The store refuses relays and serves the others
    Then a gateway that the store answers does not read through a relay that the store refuses
    And the view of a relay that has lost the store is doubted after a fifth of the tightest bound

  Scenario: One gateway calls the store for all
    Given three gateways that read through one
    Then for 3 s the other two make no call to the store but for their records

  @promise.config
  Scenario Outline: A change is in force everywhere within the bound although <what>
    Given three gateways that read through one
    When <event>
    And the operator replaces the key
    Then within 4 s every gateway that can reach the store refuses the old key

    Examples:
      | what                                | event                                       |
      | nothing fails                       | nothing happens                             |
      | the relay is frozen                 | the relay is frozen                         |
      | the relay is killed                 | the relay is killed                         |
      | the relay is cut off from the store | the relay's path to the store is cut        |
      | the relay is refused by the store   | the relay's connections to the store reset  |
      | the relay's connections are silent  | the relay's open connections to the store go silent |
      | both relays are lost                | the relay and the next one are frozen       |

  @failure.store_outage
  Scenario: No herd of calls while the store is down, and service goes on afterwards
    Given three gateways that read through one
    When the store is down for 3 s for all gateways
    Then each gateway made at most 12 calls during this time
    And within 3 s every gateway answers reads
    And no engine was taken out of use

  @failure.store_outage
  Scenario: One kind of call finds out for all whether the store is back
    Given three gateways that read through one
    When the store is down for 4 s for all gateways
    Then the gateway that watches the store made at most 20 calls during this time
    And within 3 s every gateway answers reads

  Scenario: Bytes that are no poll end one connection and nothing else
    Given three gateways that read through one
    When bytes that are no poll are sent to the relay
    Then the relay closes that connection and counts it
    And within 1 s every gateway answers reads

  @promise.leaving
  Scenario: An engine leaves while the store refuses the relays but not this gateway
    Given three gateways that read through one
    When the relay and the next one are refused by the store for 3 s
    And the entry of the engine "plain-0" is removed
    Then within 3 s the gateway that reaches the store has taken "plain-0" out of use
