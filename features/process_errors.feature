Feature: Unexpected errors while a sidecar or an entry process serves a request
  Their own code runs here without processes.

  # Guards against a run without a last frame, for which the entry process waits until its deadline (LOST).
  @promise.answer
  Scenario Outline: <what> ends the run with the outcome "<outcome>" and frees its place
    Given a sidecar whose server is <what>
    When it runs a request
    Then the run ends within 2 s with the outcome "<outcome>"
    And nothing runs there any more

    Examples:
      | what                                        | outcome |
      | one that raises an error of no known kind   | error   |
      | an engine that sends an event without sense | stalled |

  # Guards against a caller that learns nothing of whether its request has run (LOST).
  @promise.answer
  Scenario: An error while the entry process serves a request ends it with an unknown outcome
    Given an entry process in which an error is raised while a request is served
    When a caller sends it a request
    Then the caller gets status 502 and the outcome "unknown-not-repeated"

  # Guards against "never started" for a run that was cancelled after its entry process was away too long (REFUSED).
  @promise.not_run
  Scenario: A run that was cancelled while its entry process was away is not said never to have started
    Given a sidecar that runs a read for an entry process, and that has got no other attempt
    When the connection is lost for 11 s, and the entry process then asks for both attempts
    Then the read is said to have ended without an answer, and the other one never to have started

  # Guards against a crash that is counted for no request, as the poll that asks for it breaks too (POISON).
  @failure.poison
  Scenario Outline: An engine whose connections <break> is known to have crashed, and has accepted no order
    Given an engine whose connections <break> after each request has arrived
    When a sidecar asks whether it has crashed, and sends it an order
    Then it has crashed, and the order was not accepted

    Examples:
      | break     |
      | close     |
      | are reset |
