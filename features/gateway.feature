Feature: The gateway on the users' platform
  A gateway process runs against stand-ins for the platform's store and engines.

  Background:
    Given a gateway with a stand-in store and stand-in engines

  @promise.allowed
  Scenario: Requests of all kinds are forwarded unchanged
    When a read, an order and a chat are sent
    Then each is answered completely by an engine
    And an engine received each with its method, path, body and id

  Scenario: Reserved headers of a caller are dropped
    When a chat is sent with every header that only the gateway may set
    Then the engine received the gateway's values and none of the caller's

  @promise.not_run
  Scenario: Requests with wrong keys or unknown routes are refused and not run
    When a request is sent with the key "nobody"
    Then the answer has status 401
    When a request is sent to "/nowhere/x"
    Then the answer has status 404
    And no engine ran a request

  @promise.answer
  Scenario Outline: A read is answered although an engine answers with the fault <fault>
    Given the next answer of a plain engine has the fault "<fault>"
    When a read is sent
    Then the answer is complete and has status 200
    And the plain engines ran <runs> requests

    Examples:
      | fault    | runs |
      | full     | 1    |
      | error    | 2    |
      | reset    | 2    |
      | stranger | 2    |
      | unsigned | 2    |
      | encoded  | 2    |
      | short    | 2    |
      | garbage  | 2    |
      | silent   | 2    |

  @promise.at_most_once
  Scenario Outline: An order is not retried after the fault <fault>
    Given the next answer of a plain engine has the fault "<fault>"
    When an order is sent
    Then the answer has status <status>
    And the plain engines ran 1 requests

    Examples:
      | fault    | status |
      | error    | 500    |
      | reset    | 502    |
      | stranger | 502    |
      | unsigned | 502    |
      | short    | 502    |
      | garbage  | 502    |
      | silent   | 504    |

  @promise.not_run
  Scenario: An order that one engine refused runs on another
    Given the next answer of a plain engine has the fault "full"
    When an order is sent
    Then the answer is complete and has status 200
    And the plain engines ran 1 requests

  @promise.answer
  Scenario: An unsolicited second answer on a connection is discarded
    Given the next answer of a plain engine has the fault "extra"
    When 6 reads are sent one after the other
    Then each read got the answer to its own request

  @promise.answer
  Scenario Outline: A stream that breaks off within event <event> is resumed on another engine
    Given the first chat is answered with the fault "cut <event>"
    When a chat is sent
    Then the stream is complete and has each event once

    Examples:
      | event |
      | 1     |
      | 2     |
      | 5     |

  Scenario: A stream without a length ends when its connection closes
    Given the first chat is answered with the fault "unframed"
    When a chat is sent
    Then the stream is complete and has each event once

  Scenario: The caller of a stream that cannot be resumed sees that it is incomplete
    Given every chat is answered with the fault "cut 3"
    When a chat is sent
    Then the stream is incomplete

  Scenario: A chat is sent to the large model if the small one has low confidence
    Given the small model reports a confidence of 20
    When a chat is sent
    Then the stream is complete and has each event once
    And the stream comes from the large model
    Given the small model reports a confidence of 90
    When a chat is sent
    Then the stream comes from the small model

  @promise.config
  Scenario: A new configuration takes effect in time, and a withdrawn key is refused
    When the operator withdraws the key
    Then within 2 s a request with the key is answered 401

  @failure.store_outage
  Scenario: A gateway without the store stops serving before it could accept a withdrawn key
    Given a gateway that must stop accepting withdrawn keys within 2.5 s
    When the store enters the mode "silent"
    Then within 3 s requests are answered 503
    And no engine runs a request after that
    When the store is available again
    Then within 3 s requests are answered 200

  Scenario: Requests are served during a short outage of the store
    When the store is down for 1 s
    Then all requests sent during this time are answered 200

  @promise.leaving
  Scenario: A draining engine receives no new requests
    When the engine "plain-0" reports that it is draining
    And 8 reads are sent one after the other
    Then the engine "plain-0" ran no request

  Scenario: Requests for an engine are not served by another one at its address
    When the engine "plain-0" is replaced by another one at its address
    And 8 reads are sent one after the other
    Then each read got the answer to its own request

  @promise.zone_out
  Scenario: An evacuated zone receives no new requests
    Given the engine "plain-0" is in zone "giarre-d"
    When the operator evacuates the zone "giarre-d"
    And 8 reads are sent one after the other
    Then the engine "plain-0" ran no request

  Scenario: Store writes that were applied but not answered cause no failures
    Given the store applies writes without answering them
    When the operator orders a rollout of version "v2" of "models" and its engines start
    And 20 chats are sent one after the other
    Then each chat is answered completely

  @failure.bad_version @failure.store_down
  Scenario: A gateway without the store learns from another one that a version is bad
    Given version "v2" of "models" is in the last stage of a rollout
    And another gateway "entry-2" is registered and gets datagrams
    When the store enters the mode "silent"
    And another gateway reports that version "v2" of "models" is bad
    Then chats run on other versions than "v2"

  @failure.silent @promise.zone_out
  Scenario: A gateway with silent store connections learns of a change from another one
    Given three gateways, one of which has silent connections to the store
    When the operator evacuates the zone of all engines but "plain-0"
    Then within 5 s that gateway sends reads to "plain-0" only

  Scenario: Entries that cannot be decoded are ignored
    When entries that cannot be decoded are written to the store
    And 4 reads are sent one after the other
    Then each read got the answer to its own request

  Scenario: The store is listed again after it has dropped its history
    When the store drops its history and an engine leaves at the same time
    And 8 reads are sent one after the other
    Then the engine "plain-0" ran no request

  Scenario: The run of a caller that disconnects is cancelled
    When the caller of a chat disconnects after the first event
    Then within 1 s the engine's run has been cancelled

  @promise.shutdown
  Scenario: A graceful shutdown completes all requests
    Given each read takes 0.5 s
    When SIGTERM is sent while reads are running
    Then all of them are answered 200
    And the gateway is no longer ready
    And the gateway exits within the grace time

  # Guards against callers that get no answer at all, and against a false "not run".
  @promise.shutdown @promise.not_run
  Scenario: Requests that exceed the grace time are ended with an unknown outcome and logged
    Given a gateway with a grace time of 3 s
    And each read takes 30 s
    When SIGTERM is sent while a read is running
    Then its caller is told that the outcome is unknown
    And the gateway has exited with status 0 and logged the closed connections

  @promise.shutdown
  Scenario: Streams that exceed the grace time are broken off
    Given a gateway with a grace time of 3 s
    And a chat that pauses for 30 s after each event
    When SIGTERM is sent while a chat is running
    Then its caller receives no complete stream

  # Guards against requests that are taken late in the grace time, passed on, and cut at its end.
  @promise.shutdown @promise.not_run
  Scenario: Requests that come late in the grace time and might outlast it are refused
    Given a gateway with a grace time of 5 s
    And each read takes 30 s
    When SIGTERM is sent while a read is running, and 2.5 s later an order, a read and a chat come
    Then each of them is refused within 0.5 s, to come back within 1 s, and none has run
    And the gateway exits within the grace time

  @promise.shutdown
  Scenario: Requests that come late in the grace time and end within it are answered
    Given a gateway with a grace time of 5 s
    And each read takes 4 s
    When SIGTERM is sent while a read is running, and 2.5 s later a read that is waited 1 s for
    Then that read is answered

  # Guards against streams that outlive the event loop, whose end is then a traceback.
  @promise.shutdown
  Scenario: A stop closes each kind of connection that is still open
    Given a gateway with a grace time of 3 s
    And a caller with an idle connection
    And idle connections to the readiness page, the metrics page and the port for other gateways
    And each read takes 30 s
    And a chat that pauses for 30 s after each event
    When SIGTERM is sent while a read is running
    Then the gateway has exited with status 0, and its last line is that it stopped

  @promise.shutdown
  Scenario: A read that arrives while idle connections are being closed is answered
    Given a gateway with a grace time of 8 s
    And each read takes 0.3 s
    And a caller with an idle connection
    When SIGTERM is sent and the VM is suspended until the caller has sent a read
    Then the caller receives the complete answer
    And the gateway exits within the grace time

  Scenario Outline: A malformed request with <what> is refused
    When the gateway receives a malformed request with <what>
    Then the connection receives status <status> and is closed
    And no engine ran a request

    Examples:
      | what                                     | status |
      | both Content-Length and chunked encoding | 400    |
      | an invalid Content-Length                | 400    |
      | an invalid chunk size                    | 400    |
      | a space before the colon                 | 400    |
      | an oversized head                        | 431    |
      | an oversized body                        | 413    |

  # Guards against requests that share a part of their prompts and crash one engine after the other.
  @failure.poison
  Scenario: Requests with a prompt part that crashes engines are refused, and others are answered
    When chats with a prompt part that crashes engines are sent between others, no two alike
    Then at most 8 of them have run, and the last ones have been refused
    And all other chats, except at most two, are answered

  @failure.poison
  Scenario: A request that crashes engines is refused, and other requests are answered
    When a read that crashes engines is sent repeatedly between other reads
    Then the crashing read has run at most 6 times and has been refused
    And all other reads, except at most one, are answered

  Scenario: A request inside the body of another one is not run
    When a read whose body contains another request is sent
    Then the plain engines ran 1 requests
    And that run received the whole body

  Scenario: Changed settings are reloaded with and without a signal
    When the settings change without a signal
    Then the gateway reloads them
    When the settings become invalid and SIGHUP is sent
    Then the gateway logs the error and continues

  Scenario: The log alone explains a refused, a failed and a resumed request
    Given the next answer of a plain engine has the fault "reset"
    When an order, a request with a wrong key and a chat that breaks off are sent
    Then each of them can be explained from the log alone

  Scenario Outline: No request fails while the store is briefly in the mode <mode>
    When the store is in the mode "<mode>" for 1 s
    Then all requests sent during this time are answered 200

    Examples:
      | mode    |
      | busy    |
      | limited |

  @failure.vm_lost
  Scenario: A page of a list is lost while hundreds of gateways list everything
    Given a store that returns 2 objects per page and loses 2 requests for later pages
    Then the gateway is ready and has read the first page of the engines once

  Scenario: All pages of a list are read
    Given a store that returns 2 objects per page
    When 80 reads are sent one after the other
    Then each read got the answer to its own request
    And every plain engine ran a request

  Scenario: A chunked body reaches the engine completely
    When an order is sent with a chunked body
    Then the answer is complete and has status 200
    And the engine received the body "first second"
