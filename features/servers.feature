Feature: Cold, leaving, crashing and overloaded backend servers

  @promise.coldstart
  Scenario Outline: Cold engines receive no more than they can handle at <deployment>
    Given the <deployment> deployment with engines=3 cold_answers=3 entries=3
    When 24 chats of 6 tokens are sent
    Then all requests are answered
    And no engine crashed

    Examples:
      | deployment |
      | ferrante   |
      | taurex     |

  @promise.coldstart @failure.cold_again
  Scenario: An engine that becomes cold without notice receives no more than it can handle
    Given the ferrante deployment with engines=2 cold_answers=2
    When 16 chats of 4 tokens are sent
    And 6 chats of 60 tokens are running
    And engine-1 becomes cold
    And 20 chats of 10 tokens are started
    Then all requests are answered
    And no engine crashed

  @promise.coldstart
  Scenario: A restarted sidecar treats its engine as cold
    Given the ferrante deployment with engines=1 cold_answers=2
    When 16 chats of 4 tokens are sent
    And engine-1 is killed
    And engine-1.backend is killed
    And engine-1.backend is restarted
    And engine-1 is restarted
    And all processes are ready again
    And 16 chats of 4 tokens are sent
    Then all requests are answered
    And no engine crashed

  @promise.leaving
  Scenario Outline: A server that the VM list marks as leaving receives no new requests at <deployment>
    Given the <deployment> deployment with token_seconds=0.05
    When 6 chats of 60 tokens are running
    And the VM list marks engine-1 as leaving
    And the current time is recorded
    And 6 chats of 4 tokens are sent
    Then all requests are answered
    And engine-1 received no requests after that

    Examples:
      | deployment |
      | ferrante   |
      | taurex     |

  @promise.leaving @promise.shutdown
  Scenario: A sidecar that shuts down reports it and completes its requests
    Given the ferrante deployment with token_seconds=0.05
    When 6 chats of 60 tokens are running
    And engine-1 receives SIGTERM
    And all entry processes know that engine-1 is leaving
    And the current time is recorded
    And 6 chats of 4 tokens are sent
    And engine-1 has exited
    Then all requests are answered
    And no run was cancelled at its engine
    And engine-1 received no requests after that
    And the records are consistent

  @promise.shutdown
  Scenario: An entry process that shuts down finishes its streams
    Given the ferrante deployment with token_seconds=0.05
    When 8 chats of 60 tokens are running
    And entry-1 receives SIGTERM
    And entry-1 has exited
    Then all requests are answered
    And no run was cancelled at its engine
    And the records are consistent

  @promise.shutdown
  Scenario Outline: A rolling restart of the whole fleet interrupts and refuses no request at <deployment>
    Given the <deployment> deployment
    When continuous traffic is sent through ready entry processes
    And every process is restarted in turn
    And the traffic is stopped
    Then all requests are answered
    And the records are consistent

    Examples:
      | deployment |
      | ferrante   |
      | taurex     |

  @failure.poison
  Scenario Outline: A request that crashes engines crashes at most two at <deployment>
    Given the <deployment> deployment with engines=4 token_seconds=0.05
    When the platform restarts crashed engines
    And 8 chats of 40 tokens are running
    And a crashing chat is sent to entry-1
    And the crashing chat is sent again to entry-2
    And the crashing chat is sent again to entry-1
    Then the crashing chats were never answered
    And all requests are answered
    And at most 2 engines crashed

    Examples:
      | deployment |
      | ferrante   |
      | taurex     |

  @failure.overload @promise.not_run
  Scenario: Engines never receive more tokens than their capacity
    Given the ferrante deployment with engines=2 capacity_tokens=600 max_queue=8
    When 60 chats of 60 tokens are sent
    Then no engine crashed
    And every request is answered or refused as not-run
    And no request that ran is refused as not run

  @failure.slow_reader
  Scenario: Slow readers use little memory and their engines are released
    Given the ferrante deployment with engines=2 token_seconds=0.003 capacity_tokens=200000
    When 50 callers request 4000 tokens and do not read them
    And the engines have cancelled the runs of these callers
    Then each of these callers cost the entry process less than 64 KB
    When these callers read their streams
    Then all requests are answered
