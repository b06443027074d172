Feature: Copies of answers on connections to engines
  A gateway process runs with an engine that writes earlier answers once more on its kept
  connections, and with one in another zone that answers correctly.

  # Guards against the copy of a refusal which is believed when its own request is under way again (TWICE).
  @promise.once @promise.not_run
  Scenario Outline: An order that was refused with <status> at an address is not sent to that address again
    Given a gateway and a process that is known under two ids, refuses each order once with <status>, and copies that
    When 12 orders are sent, each after the answer to the one before
    Then no order begins at two engines, and each has an answer of 200
    And no order came to the process twice

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

  # Guards against a request that counts as one which crashes engines, as its engine copies without end.
  Scenario Outline: An engine that writes <copies> is not taken for one that has crashed
    Given a gateway and a plain engine that writes <copies> before an answer
    When 6 orders are sent, with a look at the engine's connections after each
    Then at least 1 of them met a copy
    And the gateway has not looked whether the engine has crashed

    Examples:
      | copies                   |
      | ten copies of a refusal  |
      | a long copy of an answer |

  # Guards against copies that are relayed in a stream, or for which it runs twice (LOST, TWICE).
  @promise.answer
  Scenario Outline: A stream whose head comes after <copies> is relayed whole
    Given a gateway and a model engine that writes <copies> before a stream
    When 12 streams are asked for, each after the end of the one before
    Then no stream begins at two engines, and each is whole, in order and its own
    And at least 2 of them met a copy

    Examples:
      | copies                          |
      | a copy of a refusal             |
      | a copy of an earlier stream     |
      | two copies of an earlier stream |

  # Guards against the copy of a read's refusal that is believed while the read runs (TWICE).
  Scenario Outline: A read that comes again to <engine> runs there alone
    Given a gateway and <engine>
    When 8 reads are sent, each after the answer to the one before
    Then each read has an answer of 200, and runs at one engine alone

    Examples:
      | engine                                                                              |
      | a process that is known under two ids, refuses each read once, and copies that      |
      | an engine that refuses each read once for a pause, and copies that                  |

  # Guards against a run that goes on, unseen, at an engine whose copy was the last sign of it (TWICE).
  Scenario: A read whose engine writes a copy and no answer goes on elsewhere once it is given up
    Given a gateway and an engine that writes a copy before each second answer, and none for long
    When 8 reads are sent, each after the answer to the one before
    Then each read has an answer of 200, and its first engine has learned that it goes on elsewhere
    And at least 1 of them met a copy

  # Guards against a late copy that is taken for the answer to the next request (LOST, TWICE).
  @promise.answer
  Scenario Outline: A copy of an answer that comes <when> harms nobody
    Given a gateway and a plain engine that copies its answers <when>
    When 12 orders are sent, each after the answer to the one before
    Then no order begins at two engines, and each has an answer of 200
    And at least 2 of them met a copy

    Examples:
      | when                         |
      | together with it             |
      | later on the idle connection |

  # Guards against news in the copy of an earlier answer, which is old (LOST).
  Scenario: What the copy of an earlier answer says of its engine is no news
    Given a gateway and a plain engine that writes a copy that asks for a pause and says that it leaves before an answer
    When 12 orders are sent, each after the answer to the one before
    Then no order begins at two engines, and each has an answer of 200
    And the gateway does not take the engine to leave or to want a pause
    And at least 2 of them met a copy
