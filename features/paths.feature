Feature: Broken paths, zones and configuration

  @promise.answer @failure.silent_connection
  Scenario Outline: Streams survive connections that go silent for good at <deployment>
    Given the <deployment> deployment with paths=1 token_seconds=0.05
    When 6 chats of 80 tokens are under way
    And the path to engine-1 goes silent
    Then all requests are answered
    And some entry counted reattached
    And the records agree

    Examples:
      | deployment |
      | ferrante   |
      | taurex     |

  @promise.answer @failure.vm_lost
  Scenario Outline: Streams are resumed whole when <process> is killed
    Given the ferrante deployment with token_seconds=0.05
    When 6 chats of 60 tokens are under way
    And <process> is killed
    Then all requests are answered

    Examples:
      | process          |
      | engine-1         |
      | engine-1.backend |

  @promise.answer
  Scenario: Late frames of a sidecar that was frozen reach nobody
    Given the ferrante deployment with engines=2 token_seconds=0.1
    When 16 chats of 1 tokens are sent
    And 6 chats of 120 tokens are under way
    And engine-1 is frozen
    And requests are run elsewhere
    And engine-1 is thawed
    Then all requests are answered
    And the records agree

  @promise.answer
  Scenario: An engine that stalls in the middle of an answer loses it to another
    Given the ferrante deployment with engines=2 token_seconds=0.05 stall_seconds=1.0
    When 4 chats of 60 tokens are under way
    And engine-1 stalls
    Then all requests are answered

  @promise.zone_out
  Scenario Outline: A zone goes out and comes back under load at <deployment>
    Given the <deployment> deployment with engines=4 services=4
    When traffic flows through ready entry processes
    And zone <zone> is taken out
    And 8 chats of 4 tokens are sent
    And 8 lookups are sent
    Then the servers in zone <zone> got no work after that
    And the change was in force within 5 s
    When zone <zone> is put in again
    And 4 chats of 4 tokens are sent
    And the traffic ends
    Then all requests are answered
    And the records agree

    Examples:
      | deployment | zone      |
      | ferrante   | catania-b |
      | taurex     | cluj-b    |

  @promise.config @failure.store_outage
  Scenario Outline: An accepted change is in force everywhere though the store goes out at <deployment>
    Given the <deployment> deployment with entries=3
    When entry-1 is frozen
    And <version> is withdrawn while entry-2 is frozen and the platform goes out
    And entry-1 is thawed
    And entry-2 is thawed
    And the change is in force at all processes
    Then the change was in force within 5 s
    When entry-1 is killed
    And entry-1 is started again
    And the change is in force at all processes
    Then no process ever went back to an older version

    Examples:
      | deployment | version    |
      | ferrante   | garzone@1  |
      | taurex     | scrib@1    |

  @promise.config @failure.lost_answer
  Scenario: A change whose answer was lost is in force, and apply says so
    Given the ferrante deployment
    When the platform loses the answers of 1 changes of config
    And an operator takes zone etna-a out
    Then the operator hears that it is accepted though its answer was lost
    And zone etna-a is out at every entry process

  @promise.config @failure.operators_race
  Scenario Outline: Of two operators at once one wins and the other is told at <deployment>
    Given the <deployment> deployment
    When two operators apply different documents at once
    Then one is accepted and the other is told what changed

    Examples:
      | deployment |
      | ferrante   |
      | taurex     |

  @promise.config
  Scenario: A process without a document runs nothing
    Given the ferrante deployment
    When the platform is out
    And engine-1 is killed
    And engine-2 is killed
    And engine-3 is killed
    And service-1 is killed
    And service-2 is killed
    And entry-1 is killed
    And entry-1 is started again
    And entry-1 answers
    And 2 chats of 4 tokens are sent to entry-1
    Then every request is refused as not-run

  @failure.together
  Scenario Outline: Two failures at a time under mixed traffic with seed <seed> at <deployment>
    Given the <deployment> deployment with engines=4 services=3 paths=1 entries=3
    When a soak of 12 s with seed <seed> is run
    Then the soak shows no breach

    Examples:
      | deployment | seed |
      | ferrante   | 1    |
      | ferrante   | 2    |
      | taurex     | 3    |
