Feature: Unexpected errors in a single request
  A gateway process runs with stand-in engines. Whatever goes wrong in one request ends it with a
  true answer, gives back what it holds, and counts as a failure of the engine that it was for.

  # Guards against headers that end a caller's connection without an answer (LOST).
  @promise.answer
  Scenario Outline: A request with <header> "<value>" gets an answer, and its connection stays open
    Given a gateway with a stand-in store and stand-in engines
    When two chats with the header <header> "<value>" are sent on one connection
    Then both get a complete answer
    And no task of the gateway has failed

    Examples: digits that are no decimal ones, and numbers that no one has
      | header                  | value       |
      | Last-Event-Id           | ²           |
      | Last-Event-Id           | 5000 digits |
      | X-Berylrock-Prefix-Hash | aa:²        |
      | X-Berylrock-Prefix-Hash | aa:5000 digits |
      | X-Berylrock-Token-Usage | ²,²         |
      | X-Berylrock-Token-Usage | 5000 digits |
      | X-Berylrock-Deadline-Ms | nan         |
      | X-Berylrock-Deadline-Ms | inf         |

  # Guards against an engine's odd header that ends callers' connections without an answer (LOST).
  @promise.answer
  Scenario Outline: An engine's answer with <header> "<value>" reaches its caller
    Given a gateway whose engines of each service answer with the header <header> "<value>"
    When a read and a chat are sent
    Then both get a complete answer
    And no task of the gateway has failed

    Examples:
      | header                      | value       |
      | X-Berylrock-Hint-Confidence | nan         |
      | X-Berylrock-Hint-Confidence | inf         |
      | X-Berylrock-Warmup-Ms       | inf         |
      | Retry-After                 | nan         |
      | Keep-Alive                  | timeout=5000 digits |
      | Server-Limit                | nan         |

  # Guards against an error while a request is handed over that ends its caller's connection (LOST).
  @promise.not_run @promise.answer
  Scenario Outline: An error before a <kind> is written leaves it to another engine
    Given a gateway in whose attempts on one engine an error is raised <when>
    When 24 <kind>s are sent on one connection
    Then all of them are answered by the other engine
    And the first engine is the one that failed, and holds nothing

    Examples:
      | kind  | when              |
      | read  | before the write  |
      | order | before the write  |
      | chat  | before the write  |
      | read  | after the write   |
      | chat  | after the write   |
      | read  | in the body       |
      | chat  | in the body       |

  # Guards against an order that is sent again, or said not to have run, after such an error (TWICE).
  @promise.not_run @promise.once
  Scenario: An error after an order was written ends it with an unknown outcome
    Given a gateway in whose attempts on one engine an error is raised after the write
    When 24 orders are sent on one connection
    Then each is answered by the other engine or with status 502, and runs at most once
    And the first engine is the one that failed, and holds nothing

  # Guards against an error outside the attempts that ends callers' connections (LOST).
  @promise.answer
  Scenario: An error while a request is admitted refuses it as not run
    Given a gateway in which an error is raised while a request is admitted
    When 3 reads are sent on one connection
    Then each is refused as not run, and no engine got it

  # Guards against an error that is taken for a caller who has left, whose connection then just ends (LOST).
  @promise.answer
  Scenario: A timeout that nobody expects, before an answer is sent, ends in an answer all the same
    Given a gateway in which an error is raised before an answer is sent
    When 2 orders are sent on one connection
    Then each gets status 502, and runs once
