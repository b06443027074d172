Feature: Allowed, withdrawn and session versions

  @promise.allowed @promise.not_run
  Scenario Outline: Only allowed versions run at <deployment>
    Given the <deployment> deployment
    When <organisation> sends 6 chats of 4 tokens
    Then all requests are answered
    And only the versions <allowed> ran
    When <organisation> requests <forbidden>
    Then the last request is refused as not-run
    And only the versions <allowed> ran

    Examples:
      | deployment | organisation | allowed                               | forbidden |
      | ferrante   | agents       | garzone@1 and garzone@2 and speziale@1 | maestro@2 |
      | taurex     | vet-tags     | scrib@1 and scrib@2                   | notar@1   |

  @promise.allowed
  Scenario: A retry uses allowed versions only
    Given the ferrante deployment with engines=2 token_seconds=0.05
    When agents has 4 chats of 60 tokens running
    And engine-1.backend is killed
    And engine-1.backend is restarted
    Then all requests are answered
    And only the versions garzone@1 and garzone@2 and speziale@1 ran

  @promise.withdrawn @promise.answer
  Scenario Outline: A withdrawn version receives no new requests at <deployment>
    Given the <deployment> deployment with token_seconds=0.05
    When 4 chats of 80 tokens for <version> are running
    And <version> is withdrawn
    And 4 chats of 4 tokens are sent
    Then <version> received no requests after that
    And all requests are answered
    And the change was in force within 5 s

    Examples:
      | deployment | version    |
      | ferrante   | speziale@1 |
      | taurex     | notar@1    |

  @promise.withdrawn @promise.config @promise.not_run
  Scenario: An entry process that was suspended sends no requests to a withdrawn version
    Given the ferrante deployment
    When 2 chats of 4 tokens are sent
    And garzone@1 is withdrawn while entry-1 is suspended
    And 4 chats of 4 tokens for garzone@1 are sent to entry-1
    Then garzone@1 received no requests after that

  @promise.withdrawn
  Scenario: Queued requests for a withdrawn version go to another one
    Given the ferrante deployment with engines=1 token_seconds=0.05
    When 12 chats of 40 tokens for garzone are started
    And garzone@1 is withdrawn
    Then all requests are answered
    And garzone@1 received no requests after that

  @promise.session
  Scenario Outline: Sessions keep their version through a growing rollout at <deployment>
    Given the <deployment> deployment
    When 8 sessions send a chat for <model>
    And a rollout of <model> from 1 to 2 starts in steps of 50 percent every 1 s
    And the rollout of <model>@2 has reached 50 percent
    And 8 new sessions send a chat for <model>
    And the rollout of <model>@2 has reached 100 percent
    And entry-1 is killed
    And entry-1 is restarted
    And all processes are ready again
    And all sessions send a chat for <model>
    Then every session kept its version
    And all requests are answered

    Examples:
      | deployment | model   |
      | ferrante   | garzone |
      | taurex     | notar   |

  @promise.session @promise.withdrawn
  Scenario: A withdrawal overrides the session and the answer reports it
    Given the ferrante deployment
    When 4 sessions send a chat for garzone
    And garzone@2 is withdrawn
    And all sessions send a chat for garzone with their session tokens
    Then every answer came from garzone@1 and reports the change of version

  @failure.bad_version
  Scenario Outline: The rollout of a version that becomes bad is rolled back automatically at <deployment>
    Given the <deployment> deployment
    When a rollout of <model> from 1 to 2 starts in steps of 50 percent every 60 s
    And the rollout of <model>@2 has reached 50 percent
    And <model>@2 becomes bad on all engines
    And 40 chats of 4 tokens for <model> are sent
    And <model>@2 is found bad
    And 10 chats of 4 tokens for <model> are sent
    Then the last 10 answers are from <model>@1
    And <model>@2 gave fewer than 30 bad answers

    Examples:
      | deployment | model   |
      | ferrante   | garzone |
      | taurex     | notar   |

  @failure.rollout_cut @failure.vm_lost
  Scenario: An interrupted rollout is continued by the next lease holder
    Given the ferrante deployment
    When a rollout of garzone from 1 to 2 starts in steps of 10 percent every 1 s
    And the rollout of garzone@2 has reached 20 percent
    And the lease holder is killed
    And the rollout of garzone@2 has reached 60 percent
    Then the lease has a new holder with a higher fencing number

  @failure.lease_lapse
  Scenario: An order of a holder that was suspended past its lease has no effect
    Given the ferrante deployment with engines=2 services=0
    When the lease holder is suspended
    And the lease has passed to another process
    And the old lease holder is resumed
    And an order with the old fencing number reaches engine-1
    Then no order with the old fencing number took effect

  @promise.billed @promise.allowed
  Scenario: A cascade starts with the cheap version, continues where its answer is not good enough, and bills each step
    Given the ferrante deployment
    When cascades are enabled for infusion
    And infusion sends 40 non-streaming chats of 4 tokens
    Then all requests are answered
    And some answers came from one step and some from two
    And the ledger has one bill for each step that ran
