Feature: What one process remembers decides for no other one

  # Guards against a stage that goes back, as an older list replaces what a write has returned (PINNED).
  @promise.version @failure.store_outage
  Scenario: A list that the store made before a gateway's own write does not take a rollout back
    Given a gateway that has written the last stage of a rollout
    When it reads a list from before that write, and then one of an order that came later
    Then the first leaves the stage as it is, and the second begins anew

  # Guards against two versions of a session, each remembered by one process since an outage (PINNED).
  @promise.session @failure.store_outage
  Scenario: Entry processes agree on the version of a session that began in an outage
    Given two entry processes without the store, which choose different versions for a session
    When the store is back and the session's requests go on
    Then both processes send the session to one version from then on
    And while the store is out, one request a second waits for it, not each

  # Guards against versions that are chosen without the rollouts, by the number of engines (PINNED, EXPOSURE).
  @promise.version @failure.silent
  Scenario: A gateway that has not read the rollouts yet takes no callers
    Given a gateway that starts while the store answers no calls about rollouts
    Then it is not ready, and refuses a read as not run, until the store answers them
