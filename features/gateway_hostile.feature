Feature: Engines that send bytes which are no answer
  A gateway process runs with one engine that answers from a script, and one that answers correctly.
  Load pattern: engines that fail send bytes without end, or a byte now and then. The smallest VMs
  have 128 MB, of which the gateway takes a sixth when idle; the store's answers may take a third.

  @promise.answer
  Scenario Outline: <part> without end goes to another engine, and memory stays flat
    Given a gateway and an engine of the models that sends "<part>" without end
    When 30 chats are sent at the same time
    Then each chat got its complete answer
    And the engine was asked, and all its connections were closed
    And the memory of the gateway grew by less than 24 MB

    Examples:
      | part                    |
      | head                    |
      | informational responses |
      | chunk size              |
      | chunk extension         |
      | event                   |
      | body of an error        |

  # Guards against one engine's endless bodies that take the memory for the answers of all others (LOST).
  @promise.answer
  Scenario: Endless answers of one engine leave room for the answers of the others
    Given a gateway with 4 sound plain engines and one whose successes never end
    When 120 reads a second are sent for 6 s, and orders to the sound engines besides
    Then every read is answered by a sound engine, and every order too
    And the endless engine was asked, and the memory of the gateway grew by less than 24 MB

  Scenario Outline: A stream that stalls with <bytes> now and then is resumed elsewhere
    Given a gateway and an engine of the models that sends "<bytes>" now and then
    When 1 chats are sent at the same time
    Then each chat got its complete answer
    And the chat was answered within 2.8 s

    Examples:
      | bytes         |
      | single bytes  |
      | comment lines |
      | empty events  |

  Scenario Outline: A slow but sound stream with pauses of <pause> s is not moved
    Given a gateway whose engines pause <pause> s between the events of a stream
    When 1 chats are sent at the same time
    Then each chat got its complete answer
    And only one engine was asked

    Examples: within the longest pause of the route, 0.6 s, and a little over it
      | pause |
      | 0.3   |
      | 0.5   |
      | 0.7   |

  # Guards against "not run" for a request that runs, after an engine repeats an earlier refusal.
  @promise.not_run
  Scenario Outline: A request whose engine writes an earlier refusal once more is not said not to have run
    Given a gateway with one engine of each service
    And the next answers of a plain engine have the faults "full; refusal again<variant>"
    When 2 reads are sent on connections that the gateway keeps
    Then the first one is refused as not run, and the second one ends with <status>

    Examples: its answer may follow a copy that names the first one, and does not until the deadline
      | variant | status |
      |         | 504    |

    Examples: a copy without an id tells nothing
      | variant | status |
      | , no id | 502    |

  # Guards against an error's text, or a false end, in the middle of a stream that is resumed.
  @promise.answer
  Scenario Outline: After a stream has begun, an answer with the fault <fault> adds nothing to it
    Given the first chats are answered with the faults "cut 3; <fault>"
    When a chat is sent
    Then the stream is incomplete
    And the stream has events of the models and nothing else

    Examples:
      | fault        |
      | error        |
      | error stream |
      | empty        |
      | unsigned     |
      | garbage      |
      | full         |

  @promise.answer
  Scenario Outline: After an answer with the fault <fault>, a stream that has begun is resumed elsewhere
    Given a gateway with three engines of the models
    And the first chats are answered with the faults "cut 3; <fault>"
    When a chat is sent
    Then the stream is complete and has each event once

    Examples:
      | fault        |
      | error        |
      | error stream |
      | empty        |

  Scenario: A stream with pauses over the target is still answered completely
    Given a gateway whose engines pause 0.7 s between the events of a stream
    When 3 chats are sent at the same time
    Then each chat got its complete answer

  Scenario: The store sends an answer without end
    Given a gateway with a stand-in store and stand-in engines
    When the store answers the next calls with bytes without end
    Then within 10 s the gateway serves by the store's changes again
    And the memory of the gateway grew by less than 42 MB

  Scenario: Datagrams in the name of another gateway decide nothing
    Given a gateway with a stand-in store and stand-in engines
    And another gateway "entry-2" is registered and gets datagrams
    When a process without a record reports the same about "v1" of "models"
    And a process at another address reports the same about "v1" of "models"
    Then 2 datagrams were dropped because of their senders
    When a datagram without an echo reports the same about "v1" of "models"
    Then the other gateway is heard, and no version is taken for bad

  Scenario: Only gateways read the store through a gateway
    Given three gateways that read through one
    When a process at another address polls the relay in the name of a gateway
    Then the relay closes that connection and counts it
    And within 1 s every gateway answers reads

  # Guards against a success that an engine has not given, made of the part of a head that has come.
  @promise.answer
  Scenario Outline: An answer that breaks off in its head, <framing>, is no success
    Given a gateway whose engines break off answers <framing>
    When a read, an order and a chat are sent for each place at which the head may end
    Then none of them gets a complete success

    Examples:
      | framing                     |
      | with a length               |
      | in chunks                   |
      | without a length            |
      | after an informational one  |
      | with bare line feeds        |

  # Guards against a broken stream that looks complete to a caller whose answers end with the connection (MIXED).
  @promise.answer
  Scenario: A caller that speaks HTTP/1.0 sees that its stream broke off
    Given a gateway with a stand-in store and stand-in engines
    And each stream of the models breaks off
    When a chat is sent in HTTP/1.0
    Then some events arrive, and then the connection is reset

  # Guards against a part of an answer, or one with a status that HTTP has not, that looks like an answer (MIXED).
  @promise.answer
  Scenario Outline: An early answer to a long upload, <what>, is no answer
    Given a gateway whose engines answer <what>
    When orders, reads and chats with bodies of 200 bytes and 2 MB are sent
    Then each of them ends with status 502, or as a stream that broke

    Examples:
      | what                                         |
      | a part without a length, and then a reset    |
      | with the status 000                          |
      | with the status 099                          |
      | with the status 600                          |
      | with the status 999                          |
