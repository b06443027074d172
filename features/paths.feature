Feature: Broken connections, zones and configuration

  @promise.answer @failure.silent_connection
  Scenario Outline: Streams survive connections that go silent permanently at <deployment>
    Given the <deployment> deployment with paths=1 token_seconds=0.05
    When 6 chats of 80 tokens are running
    And the open connections to engine-1 go silent
    Then all requests are answered
    And some entry process counted reattached
    And the records are consistent

    Examples:
      | deployment |
      | ferrante   |
      | taurex     |

  @promise.answer @failure.vm_lost
  Scenario Outline: Streams are resumed completely when <process> is killed
    Given the ferrante deployment with token_seconds=0.05
    When 6 chats of 60 tokens are running
    And <process> is killed
    Then all requests are answered

    Examples:
      | process          |
      | engine-1         |
      | engine-1.backend |

  @promise.answer
  Scenario: Late frames of a sidecar that was suspended are dropped
    Given the ferrante deployment with engines=2 token_seconds=0.1
    When 16 chats of 1 tokens are sent
    And 6 chats of 120 tokens are running
    And engine-1 is suspended
    And a request has been retried or resumed on another server
    And engine-1 is resumed
    Then all requests are answered
    And the records are consistent

  @promise.answer
  Scenario: A stream is resumed on another engine if its engine stalls
    Given the ferrante deployment with engines=2 token_seconds=0.05 stall_seconds=1.0
    When 4 chats of 60 tokens are running
    And engine-1 stalls
    Then all requests are answered

  @promise.zone_out
  Scenario Outline: A zone leaves service and returns under load at <deployment>
    Given the <deployment> deployment with engines=4 services=4
    When continuous traffic is sent through ready entry processes
    And zone <zone> is taken out of service
    And 8 chats of 4 tokens are sent
    And 8 lookups are sent
    Then the servers in zone <zone> received no requests after that
    And the change was in force within 5 s
    When zone <zone> is returned to service
    And 4 chats of 4 tokens are sent
    And the traffic is stopped
    Then all requests are answered
    And the records are consistent

    Examples:
      | deployment | zone      |
      | ferrante   | catania-b |
      | taurex     | cluj-b    |

  @promise.config @failure.store_outage
  Scenario Outline: An accepted change takes effect everywhere although the store fails at <deployment>
    Given the <deployment> deployment with entries=3
    When entry-1 is suspended
    And <version> is withdrawn while entry-2 is suspended and the platform fails
    And entry-1 is resumed
    And entry-2 is resumed
    And the change is in force at all processes
    Then the change was in force within 5 s
    When entry-1 is killed
    And entry-1 is restarted
    And the change is in force at all processes
    Then no process reverted to an older version

    Examples:
      | deployment | version    |
      | ferrante   | garzone@1  |
      | taurex     | scrib@1    |

  @promise.config @failure.lost_answer
  Scenario: A change whose answer was lost takes effect, and the command reports it
    Given the ferrante deployment
    When the platform applies 1 changes of config without answering them
    And an operator takes zone etna-a out of service
    Then the command reports that the change was accepted although its first answer was lost
    And zone etna-a is out of service in the stored document

  @promise.config @failure.operators_race
  Scenario Outline: Of two concurrent operators one succeeds and the other is refused at <deployment>
    Given the <deployment> deployment
    When two operators apply different documents concurrently
    Then one is accepted and the other is told how to see what changed

    Examples:
      | deployment |
      | ferrante   |
      | taurex     |

  @promise.config
  Scenario: An entry process without a document runs no requests
    Given the ferrante deployment
    When the platform is unavailable
    And engine-1 is killed
    And engine-2 is killed
    And engine-3 is killed
    And service-1 is killed
    And service-2 is killed
    And entry-1 is killed
    And entry-1 is restarted
    And entry-1 answers callers
    And 2 chats of 4 tokens are sent to entry-1
    Then every request is refused as not-run

  @failure.together
  Scenario Outline: Two concurrent failures under mixed traffic with seed <seed> at <deployment>
    Given the <deployment> deployment with engines=4 services=3 paths=1 entries=3
    When a soak of 12 s with seed <seed> is run
    Then the soak shows no violation

    Examples:
      | deployment | seed |
      | ferrante   | 1    |
      | ferrante   | 2    |
      | taurex     | 3    |
