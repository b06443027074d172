Feature: What answers on connections to engines prove
  Requests go through a gateway's own forwarding, to engines in memory that copy earlier answers.

  # Guards against any order of refusals, copies and repeats that makes a request run twice, or fails a sound one (TWICE, LOST).
  @promise.once @promise.not_run @promise.answer
  Scenario: Whatever engines copy, requests run once, keep their own answers, and are told the truth
    Then no play of sends, refusals, runs, copies, pauses and repeats breaks a promise

  # Guards against bytes of one answer that are taken for another one, wherever a segment ends (TWICE, LOST).
  @promise.answer @failure.lost_answer
  Scenario: However the bytes of answers are cut, a request gets its own answer or an error
    Then no drawn exchange of two requests on a connection gives the second one foreign bytes
    And each exchange without further bytes gives it its whole answer

  # Guards against a copy that is taken for an answer because its request is long past (TWICE).
  Scenario: A connection knows the last 64 requests that it has carried
    Then a copy for one of these is passed over, and one for an older request proves nothing

  # Guards against callers whose long ids fill a gateway's memory.
  Scenario: Connections remember the longest ids in little memory
    Then the history of a connection takes at most 16 KB after 1000 requests with ids of 14 KB

  # Guards against the copy of an answer to HEAD whose missing body takes the next answer for itself (LOST).
  Scenario: The copy of an answer to HEAD is passed over only where another one is due to HEAD
    Then the copy of an answer with a body before one without, or the other way round, proves nothing
