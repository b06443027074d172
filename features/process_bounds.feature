Feature: Bytes without end at a sidecar and at an entry process
  Their clients run here without processes, against a server that sends scripted bytes. Load pattern:
  servers in trouble send bytes that are no answer, without end or a byte now and then. A sidecar's VM
  has 232 MB; a socket's buffers hold a few MB by themselves.

  # Guards against an engine that fills its sidecar's memory until the process ends (LOST).
  @promise.answer
  Scenario Outline: A sidecar gives up <what> without end
    Given a server that sends <what> without end
    When a sidecar <asks>
    Then it gives up within 3 s with "<end>", and has taken less than 12 MB

    Examples:
      | what                            | asks                  | end         |
      | the body of an error            | runs a request there  | error       |
      | single bytes of an error's body | runs a request there  | error       |
      | a head                          | runs a request there  | stalled     |
      | an event line                   | runs a request there  | stalled     |
      | an answer                       | passes a call on      | stalled     |
      | a load report                   | asks for its load     | unreachable |
      | the response to an order        | gives it an order     | not taken   |
      | single bytes of such a response | gives it an order     | not taken   |

  # Guards against an event line whose bytes are searched again at each read, so that all else waits.
  @promise.answer
  Scenario: An event line in small pieces takes little of a sidecar's time
    Given a server that sends an event line of 200 kB in pieces of 16 bytes
    When a sidecar runs a request there
    Then the run ends with "stalled", and took less than 2 s of processor time

  # Guards against many whole answers that together fill a sidecar's memory (LOST).
  @promise.answer
  Scenario: Many large answers at the same time leave room for small ones
    Given a server that sends answers of 3900 kB
    When a sidecar passes 40 calls on at the same time, and then one with a small answer
    Then its memory grew by less than 116 MB, and the small answer is complete

  # Guards against a platform whose answers fill the memory of a process, or hold its threads (LOST).
  @failure.store_outage
  Scenario Outline: <service> that sends <what> without end counts as unavailable
    Given a server that sends <what> without end
    When <service> is read there
    Then it is unavailable within 3.5 s, and less than 24 MB were taken

    Examples:
      | service            | what               |
      | the object API     | the body of a page |
      | the object API     | single bytes       |
      | the VM list        | the body of a page |
      | the object API     | single bytes of a page with a length |
      | the object API     | single bytes of a head |
      | the VM list        | a packed page      |
      | the rating service | the body of a page |
      | the rating service | single bytes       |

  # Guards against many callers whose unfinished bodies together fill an entry process's memory (LOST).
  @promise.not_run
  Scenario: Many callers that do not finish their bodies leave room for others
    Given an entry process without backend servers
    When 80 callers send 900 kB of a body of 950 kB, and one sends a whole body of 2 kB
    Then the whole one is served, and less than 48 MB are held for the others
