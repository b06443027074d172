Feature: Callers during and right after an outage of the store
  Load pattern: the store is away for all gateways for longer than a key may stay in use unconfirmed,
  while gateways are restarted in turn. Nobody with a key can be served, and callers repeat a few times.

  # Guards against a fleet of which every gateway sends its callers to the others.
  @failure.store_outage
  Scenario: The store is away for all gateways of several zones
    Given gateways in 4 zones that last heard the store 6 s ago
    Then a gateway that hears those of all zones stays ready
    And it is not ready once one of them has heard the store 2 s ago
    And one that hears only its own zone is not ready, and one that hears nobody is not ready

  @failure.store_outage
  Scenario: Gateways of a fleet of any shape lose the store, and some datagrams are lost
    Then no gateway stays ready that hears one with a fresher view, or too few zones

  # Guards against callers that use up their repeats while the store is still away.
  @failure.store_outage
  Scenario: Thousands of callers with one repeat are refused in outages of unknown length
    Given 4000 callers that are refused at any moment of outages of 6 to 20 s
    Then more than twice as many of those that wait 20 s meet the store again as after waits of 0.5 s
    And no caller is asked to wait for longer than it accepts, nor for less than 0.3 s
    And callers that are refused together do not return within one tenth of their wait

  @failure.store_outage @failure.vm_lost
  Scenario: The store is away for 8 s while gateways are restarted in turn
    Given three gateways that read through one
    When the store is down for 8 s for all gateways, and the gateways are restarted in turn
    Then the gateways that were not restarted were ready all the while
    And after 5.5 s they refused reads at once as not run, to return after 0.3 s or later
    And within 1 s of its return every gateway answers reads
    And the store got at most 60 calls in the first second after its return
