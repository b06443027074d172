Feature: Cold, leaving, falling and overloaded backend servers

  @promise.coldstart
  Scenario Outline: Cold engines get no more than they bear at <deployment>
    Given the <deployment> deployment with engines=3 cold_answers=3 entries=3
    When 24 chats of 6 tokens are sent
    Then all requests are answered
    And no engine fell

    Examples:
      | deployment |
      | ferrante   |
      | taurex     |

  @promise.coldstart @failure.cold_again
  Scenario: An engine that turns cold without warning gets no more than it bears
    Given the ferrante deployment with engines=2 cold_answers=2
    When 16 chats of 4 tokens are sent
    And 6 chats of 60 tokens are under way
    And engine-1 turns cold
    And 20 chats of 10 tokens are on their way
    Then all requests are answered
    And no engine fell

  @promise.coldstart
  Scenario: A sidecar that was restarted takes its engine for cold
    Given the ferrante deployment with engines=1 cold_answers=2
    When 16 chats of 4 tokens are sent
    And engine-1 is killed
    And engine-1.backend is killed
    And engine-1.backend is started again
    And engine-1 is started again
    And all is ready again
    And 16 chats of 4 tokens are sent
    Then all requests are answered
    And no engine fell

  @promise.leaving
  Scenario Outline: A server that the VM list names as leaving gets no new work at <deployment>
    Given the <deployment> deployment with token_seconds=0.05
    When 6 chats of 60 tokens are under way
    And the VM list says that engine-1 leaves
    And that moment is noted
    And 6 chats of 4 tokens are sent
    Then all requests are answered
    And engine-1 got no work after that

    Examples:
      | deployment |
      | ferrante   |
      | taurex     |

  @promise.leaving @promise.shutdown
  Scenario: A sidecar that is told to stop says so itself, and cuts nothing
    Given the ferrante deployment with token_seconds=0.05
    When 6 chats of 60 tokens are under way
    And engine-1 is told to stop
    And entry processes know that engine-1 leaves
    And that moment is noted
    And 6 chats of 4 tokens are sent
    And engine-1 has stopped by itself
    Then all requests are answered
    And no run was cut at its engine
    And engine-1 got no work after that
    And the records agree

  @promise.shutdown
  Scenario: An entry process that is told to stop finishes its streams
    Given the ferrante deployment with token_seconds=0.05
    When 8 chats of 60 tokens are under way
    And entry-1 is told to stop
    And entry-1 has stopped by itself
    Then all requests are answered
    And no run was cut at its engine
    And the records agree

  @promise.shutdown
  Scenario Outline: A rolling restart of the whole fleet cuts and refuses nothing at <deployment>
    Given the <deployment> deployment
    When traffic flows through ready entry processes
    And every process is restarted in turn
    And the traffic ends
    Then all requests are answered
    And the records agree

    Examples:
      | deployment |
      | ferrante   |
      | taurex     |

  @failure.poison
  Scenario Outline: A request that crashes engines costs two at the most at <deployment>
    Given the <deployment> deployment with engines=4 token_seconds=0.05
    When fallen engines are started again by the platform
    And 8 chats of 40 tokens are under way
    And a crashing chat is sent to entry-1
    And the crashing chat is sent again to entry-2
    And the crashing chat is sent again to entry-1
    Then the crashing chats were never answered
    And all requests are answered
    And 2 engines fell at the most

    Examples:
      | deployment |
      | ferrante   |
      | taurex     |

  @failure.overload @promise.not_run
  Scenario: Engines are never given more tokens than they hold
    Given the ferrante deployment with engines=2 capacity_tokens=600 max_queue=8
    When 60 chats of 60 tokens are sent
    Then no engine fell
    And every request is answered or refused as not-run
    And no request is refused as not run that ran

  @failure.slow_reader
  Scenario: Slow readers hold little memory and their engines are freed
    Given the ferrante deployment with engines=2 token_seconds=0.003 capacity_tokens=200000
    When 50 readers ask for 4000 tokens and read nothing
    And the engines have been freed of the readers
    Then each reader cost the entry process less than 64 KB
    When the readers read on
    Then all requests are answered
