Feature: What proves to a gateway that a request did not run
  A gateway process runs with an engine that answers from a script, after it has begun to run the
  request, and with one in another zone that answers correctly.

  # Guards against an order that goes to a second engine on a claim that is not about it (TWICE).
  @promise.once @promise.not_run
  Scenario Outline: An order that runs is not sent on after <claim>
    Given a gateway and a plain engine that runs orders and answers with <claim>
    When an order is sent there
    Then its caller gets status 502, and no other engine gets it

    Examples: claims about another request, or about none
      | claim                                       |
      | a refusal without an id on a new connection |
      | a refusal with two ids                      |
      | a refusal of another request                |

    Examples: answers that do not say so, or that contradict it
      | claim                                   |
      | a success that says that it did not run |
      | a failure that says that it did not run |
      | a refusal that does not say so          |

    Examples: no answer
      | claim                     |
      | bytes that are no answer  |
      | a head that breaks off    |
      | a closed connection       |
      | informational ones only   |

  # Guards against requests whose refusals could not be told from those of others (TWICE).
  Scenario: An order without an id is refused at once as a bad request
    Given a gateway with a stand-in store and stand-in engines
    When an order without an id is sent
    Then it is refused with status 400, and no engine gets it

  # Guards against proofs that are passed over, so that callers are failed for nothing.
  @promise.not_run
  Scenario Outline: An order goes on to another engine after <proof>
    Given a gateway and a plain engine that answers orders with <proof>
    When an order is sent there
    Then the other engine answers it, and runs it once

    Examples:
      | proof                                     |
      | a refusal of this request                 |
      | an answer that it is not the named engine |
      | a refused connection                      |

  # Guards against an earlier refusal that is taken for the answer to a second send (TWICE).
  @promise.once @promise.not_run
  Scenario: An order that an engine has refused is not sent to it again
    Given a gateway whose only plain engine refuses orders and asks for a pause of 0.3 s
    When an order is sent there
    Then the engine got it once, and its caller is to come back after the pause

  # Guards against "not run" for an order that ran, when its failed end cannot be answered (REFUSED).
  @promise.not_run
  Scenario: An error while the end of an order is answered does not refuse it as not run
    Given a gateway in which an error is raised while a failed end is answered
    When 1 orders are sent on one connection
    Then its connection ends without a promise that it has not run

  # Guards against a head, of any that an engine or a proxy may send, which passes for a proof and is none (TWICE).
  @promise.not_run
  Scenario: Of all heads of responses only one kind proves that a request did not run
    Then a head proves it just if it names this request alone, refuses, and says so
