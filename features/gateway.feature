Feature: The gateway on the users' platform
  A real gateway process between stand-ins of the platform's store and engines.

  Background:
    Given a gateway between stand-ins

  @promise.allowed
  Scenario: Requests of all kinds are served unchanged
    When a read, an order and a chat are sent
    Then each is answered whole by an engine
    And each reached an engine with its method, path, body and id

  Scenario: Headers that only the system may set are dropped
    When a chat is sent with every header that only the system may set
    Then the engine got the system's own values and none of the caller's

  @promise.not_run
  Scenario: Wrong keys and unknown routes are refused without a run
    When a request is sent with key "nobody"
    Then it is answered 401
    When a request is sent to "/nowhere/x"
    Then it is answered 404
    And no engine ran anything

  @promise.answer
  Scenario Outline: A read survives an engine that answers with <fault>
    Given the next plain answer is "<fault>"
    When a read is sent
    Then it is answered 200 whole
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
  Scenario Outline: An order is never sent again after <fault>
    Given the next plain answer is "<fault>"
    When an order is sent
    Then it is answered <status>
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
  Scenario: An order that an engine refused runs at another one
    Given the next plain answer is "full"
    When an order is sent
    Then it is answered 200 whole
    And the plain engines ran 1 requests

  @promise.answer
  Scenario: A second answer on a connection reaches nobody
    Given the next plain answer is "extra"
    When 6 reads are sent one after the other
    Then each read got the answer to its own request

  @promise.answer
  Scenario Outline: A stream broken off within event <event> goes on at another engine
    Given the first chat is answered with "cut <event>"
    When a chat is sent
    Then the stream is whole, with each event once

    Examples:
      | event |
      | 1     |
      | 2     |
      | 5     |

  Scenario: A stream without a length ends with its connection
    Given the first chat is answered with "unframed"
    When a chat is sent
    Then the stream is whole, with each event once

  Scenario: A stream that cannot be mended ends visibly broken
    Given every chat is answered with "cut 3"
    When a chat is sent
    Then the stream is not whole

  Scenario: An answer that the small model is unsure of is asked of the large one
    Given the small model's confidence is 20
    When a chat is sent
    Then the stream is whole, with each event once
    And the stream is the large model's
    Given the small model's confidence is 90
    When a chat is sent
    Then the stream is the small model's

  @promise.config
  Scenario: A configuration is in force at once, and a withdrawn key is refused
    When the operator withdraws the key
    Then within 2 s the key is answered 401

  @failure.store_outage
  Scenario: A gateway that has lost the store stops before a withdrawn key could still be good
    Given a gateway that must stop withdrawn keys within 2.5 s
    When the store becomes silent
    Then within 3 s requests are answered 503
    And no engine runs anything after that
    When the store is up again
    Then within 3 s requests are answered 200

  Scenario: Requests are served while the store is away for a moment
    When the store is down for 1 s
    Then all requests sent meanwhile are answered 200

  @promise.leaving
  Scenario: A draining engine gets nothing new
    When the engine "plain-0" says that it is draining
    And 8 reads are sent one after the other
    Then the engine "plain-0" ran nothing

  Scenario: An address that another engine has now is not used for the old one
    When the engine "plain-0" is replaced by another one at its address
    And 8 reads are sent one after the other
    Then each read got the answer to its own request

  @promise.zone_out
  Scenario: A zone taken out gets nothing new
    Given the engine "plain-0" is in zone "giarre-d"
    When the operator takes the zone "giarre-d" out
    And 8 reads are sent one after the other
    Then the engine "plain-0" ran nothing

  Scenario: A write to the store that was done but not answered harms nothing
    Given the store loses the answers to writes
    When the operator orders version "v2" of "models" and its engines start
    And 20 chats are sent one after the other
    Then each chat is whole

  @failure.bad_version @failure.store_down
  Scenario: A gateway that has lost the store hears from another one that a version is bad
    Given version "v2" of "models" gets every session of a roll-out
    When the store becomes silent
    And another gateway says that version "v2" of "models" is bad
    Then chats go to other versions than "v2"

  @failure.silent @promise.zone_out
  Scenario: A gateway whose connections have gone silent hears of a change from another one
    Given three gateways, of which one's connections to the store have gone silent
    When the operator takes out the zone of all engines but "plain-0"
    Then within 5 s the silenced gateway sends reads to "plain-0" only

  Scenario: Entries that cannot be read name no engine
    When entries that cannot be read are written to the store
    And 4 reads are sent one after the other
    Then each read got the answer to its own request

  Scenario: A store that has forgotten its history is listed again
    When the store forgets its history and an engine leaves meanwhile
    And 8 reads are sent one after the other
    Then the engine "plain-0" ran nothing

  Scenario: A caller that leaves stops its run
    When a chat's caller leaves after the first event
    Then within 1 s the engine's run has been stopped

  @promise.shutdown
  Scenario: A planned stop cuts no request
    Given each read takes 0.5 s
    When SIGTERM comes while reads are running
    Then all of them are answered 200
    And the gateway says at once that it is not ready
    And it ends by itself within the grace time

  @promise.shutdown
  Scenario: What does not end within the grace time is cut, and the log says so
    Given a gateway with a grace time of 3 s
    And each read takes 30 s
    When SIGTERM comes while a read is running
    Then its caller gets no answer
    And the gateway has ended with success and said what it cut

  @promise.shutdown
  Scenario: A read that comes as idle connections are closed is answered
    Given each read takes 0.3 s
    And a caller whose connection is idle
    When SIGTERM comes and the VM is suspended until the caller has sent a read
    Then the caller gets the whole answer
    And it ends by itself within the grace time

  Scenario Outline: Bytes that are no request are refused: <what>
    When the gateway is sent "<what>"
    Then the connection gets status <status> and is closed
    And no engine ran anything

    Examples:
      | what                     | status |
      | both lengths             | 400    |
      | a bad length             | 400    |
      | a bad chunk size         | 400    |
      | a space before the colon | 400    |
      | a head that is too large | 431    |
      | a body that is too large | 413    |

  @failure.poison
  Scenario: A request that crashes each engine that runs it is stopped, and the others go on
    When a read that crashes engines is sent again and again among other reads
    Then it has run at most 6 times
    And the other reads are answered

  Scenario: A request inside another one's body is not run
    When a read is sent whose body holds another request
    Then the plain engines ran 1 requests
    And that run had the whole body

  Scenario: Settings that change are read again, with and without a signal
    When the settings change without a signal
    Then the gateway reads them again
    When the settings become faulty and SIGHUP comes
    Then the gateway names the fault and goes on

  Scenario: A refused, a failed and a resumed request are explained from the log alone
    Given the next plain answer is "reset"
    When an order, a request with a wrong key and a chat that breaks off are sent
    Then the log alone explains each of them

  Scenario Outline: A store that answers <mode> for a moment costs no request
    When the store answers "<mode>" for 1 s
    Then all requests sent meanwhile are answered 200

    Examples:
      | mode    |
      | busy    |
      | limited |

  Scenario: A list of several pages is read whole
    Given a store whose pages hold 2 objects
    When 80 reads are sent one after the other
    Then each read got the answer to its own request
    And every plain engine ran something

  Scenario: A body in chunks reaches the engine whole
    When an order is sent in chunks
    Then it is answered 200 whole
    And the engine got "first second" as its body
