Feature: Answers of backend servers that break off, or are none, at a sidecar
  A sidecar's clients run here without processes, against a server that sends scripted bytes and then
  resets its connection, as one that crashes or is overrun does.

  # Guards against a part of an answer that is handed out as a complete one (MIXED).
  @promise.answer @failure.lost_answer
  Scenario Outline: <what> ends a call of <size> bytes with the outcome "<outcome>"
    Given a server that answers calls with <what>
    When a sidecar passes a call of <size> bytes on
    Then the call ends within 3 s with the outcome "<outcome>"

    Examples:
      | what                                               | size    | outcome |
      | a body without a length, and then a reset          | 10      | stalled |
      | a body without a length, and then a reset          | 4000000 | stalled |
      | a long body without a length, and then a reset     | 4000000 | stalled |
      | a body that is shorter than its length             | 10      | stalled |
      | a body without a length, and then its end in order | 10      | done    |

  # Guards against an answer with a status that HTTP has not (MIXED).
  @promise.answer
  Scenario Outline: The status <status> is no answer to a call
    Given a server whose answers have the status <status>
    When a sidecar passes a call of 10 bytes on
    Then the call ends within 3 s with the outcome "stalled"

    Examples:
      | status |
      | 000    |
      | 099    |
      | 600    |
      | 999    |

  # Guards against reports and responses that are believed though they broke off (MIXED).
  @promise.answer
  Scenario Outline: <what> without a length that is reset counts as none
    Given a server that answers with <what> without a length, and then a reset
    When a sidecar <asks>
    Then it gives up within 3 s with "<end>", and has taken less than 1 MB

    Examples:
      | what                     | asks              | end         |
      | a load report            | asks for its load | unreachable |
      | the response to an order | gives it an order | not taken   |
