Feature: What an entry process and a sidecar take for an answer, and for "did not run"
  Their clients run here without processes. A server, a proxy before it or the platform answers late,
  twice, or not at all.

  # Guards against a client library that sends a call a second time by itself (TWICE).
  @promise.at_most_once
  Scenario Outline: A <method> call whose connection <breaks> is passed on once
    Given a plain server whose connections <break> after each call has arrived
    When a sidecar passes a <method> call on that may run once
    Then the call has arrived once, and its outcome is unknown

    Examples:
      | method | breaks   | break     |
      | PUT    | closes   | close     |
      | DELETE | closes   | close     |
      | GET    | closes   | close     |
      | PUT    | is reset | are reset |

  # Guards against "not run" for a call whose second sending by the library found nobody there (REFUSED).
  @promise.not_run @promise.at_most_once
  Scenario: A PUT call whose server stops listening after it has arrived is not said not to have run
    Given a plain server that stops listening and closes once a call has arrived
    When a sidecar passes a PUT call on that may run once
    Then the call has arrived once, and its outcome is unknown

  # Guards against "not run" because the object API has lost the claim of a call that runs (REFUSED, TWICE).
  @promise.not_run @failure.store_outage
  Scenario: A call whose earlier request's claim vanishes is not said not to have run
    Given an entry process, and another one that runs a call under the same key
    When the claim is gone while the entry process waits for its outcome
    Then the caller is told that the call may have run

  # Guards against a claim that two hold because of the copy of an earlier answer (TWICE).
  @promise.at_most_once @failure.lost_answer
  Scenario: A copy of an answer of the object API does not let a second request hold a claim
    Given an object API that writes each answer once more when the next call comes, and a stored claim
    When a request writes another claim, and then wants the stored one
    Then it does not hold the stored one

  # Guards against "never started" for an attempt that the sidecar can no longer remember (TWICE).
  @promise.not_run
  Scenario: An attempt that ran too long ago to be remembered is not said never to have started
    Given a sidecar that has run an attempt for an entry process whose connection was then lost
    When 20001 more attempts have ended there, and the entry process asks for its attempt
    Then the attempt is said to have ended without an answer
    And an attempt of an entry process that has lost no connection since is said never to have started

  # Guards against "never started" after a second loss, before the attempt could be asked for (TWICE).
  @promise.not_run
  Scenario: An attempt is not said never to have started after two losses in a row
    Given a sidecar that has run an attempt for an entry process whose connection was then lost
    When 20001 more attempts have ended there, and the entry process asks after a second loss
    Then the attempt is said to have ended without an answer

  # Guards against an outcome that stays unknown for calls which never started, once runs have been forgotten.
  @promise.not_run
  Scenario: An attempt is said never to have started if nothing was forgotten since all were asked for
    Given a sidecar that has run an attempt for an entry process whose connection was then lost
    When 20001 more attempts have ended there, and the entry process comes back, lives, is lost and asks for a new one
    Then the new attempt is said never to have started
