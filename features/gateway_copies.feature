Feature: Copies of answers on connections to engines
  A gateway process runs with an engine that writes earlier answers once more on its kept
  connections, and with one in another zone that answers correctly.

  # Guards against the copy of a refusal which is believed when its own request is under way again (TWICE).
  @promise.once @promise.not_run
  Scenario Outline: An order that was refused with <status> at an address is not sent to that address again
    Given a gateway and a process that is known under two ids, refuses each order once with <status>, and copies that
    When 12 orders are sent, each after the answer to the one before
    Then no order begins at two engines, and each has an answer of 200

    Examples:
      | status |
      | 421    |
      | 503    |
      | 429    |

  # Guards against a run that goes on, as nobody waits for its answer, while its read runs elsewhere (TWICE).
  @promise.once
  Scenario: A read whose refusal is copied when it comes to another id at the address runs nowhere else meanwhile
    Given a gateway and a process that is known under two ids, runs reads for long, and copies their refusals before
    When 12 reads are sent, each after the answer to the one before
    Then each has an answer of 200, and no run that was given up goes on for 0.4 s

  # Guards against orders that are refused while an engine could run them (availability).
  Scenario: An engine that has started again under a new id gets orders while its old entry still stands
    Given a gateway whose only plain engine has started again under a new id
    When 12 orders are sent, each after the answer to the one before
    Then at most 2 of them are refused, at once, and the others have an answer of 200

  # Guards against a sound answer that is failed because of an earlier one's copy (LOST).
  @promise.answer
  Scenario Outline: An order whose answer comes after <copies> gets its own answer
    Given a gateway and a plain engine that writes <copies> before an answer
    When 12 orders are sent, each after the answer to the one before
    Then no order begins at two engines, and each has an answer of 200
    And at least 2 of them met a copy

    Examples:
      | copies                          |
      | a copy of a refusal             |
      | two copies of a refusal         |
      | a copy of an answer             |
      | a copy of an answer in chunks   |

  # Guards against the copy of an answer without a body that is taken for one without an end (LOST).
  @promise.answer
  Scenario: An order whose answer comes after a copy of one with no body gets its own answer
    Given a gateway and a plain engine that writes a copy of an answer with no body before an answer
    When 12 orders are sent, each after the answer to the one before
    Then no order begins at two engines, and each has an answer of 200 or 204
    And at least 2 of them met a copy

  # Guards against a copy that counts as a sign of life, so that its read waits for too long.
  Scenario: A read whose engine writes a copy that does not end goes to another engine in time
    Given a gateway and a plain engine that writes a copy that does not end before an answer
    When 4 reads are sent, each after the answer to the one before
    Then each has an answer of 200 within its target of 1 s
    And at least 1 of them met a copy

  # Guards against an engine that keeps a request for as long as it copies (LOST).
  Scenario Outline: An order whose answer comes after <copies> fails, and runs once
    Given a gateway and a plain engine that writes <copies> before an answer
    When 4 orders are sent, each after the answer to the one before
    Then no order begins at two engines, and each that met a copy has an answer of 502
    And at least 1 of them met a copy

    Examples:
      | copies                          |
      | ten copies of a refusal         |
      | a long copy of an answer        |
      | a copy without a length         |
