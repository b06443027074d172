Feature: Allowed, withdrawn and session versions

  @promise.allowed @promise.not_run
  Scenario Outline: Only allowed versions run at <deployment>
    Given the <deployment> deployment
    When <organisation> sends 6 chats of 4 tokens
    Then all requests are answered
    And the versions that ran are all of <allowed>
    When <organisation> asks for <forbidden>
    Then the last request is refused as not-run
    And the versions that ran are all of <allowed>

    Examples:
      | deployment | organisation | allowed                               | forbidden |
      | ferrante   | agents       | garzone@1 and garzone@2 and speziale@1 | maestro@2 |
      | taurex     | vet-tags     | scrib@1 and scrib@2                   | notar@1   |

  @promise.allowed
  Scenario: A retry stays on allowed versions
    Given the ferrante deployment with engines=2 token_seconds=0.05
    When agents has 4 chats of 60 tokens under way
    And engine-1.backend is killed
    And engine-1.backend is started again
    Then all requests are answered
    And the versions that ran are all of garzone@1 and garzone@2 and speziale@1

  @promise.withdrawn @promise.answer
  Scenario Outline: A withdrawn version gets no new work at <deployment>
    Given the <deployment> deployment with token_seconds=0.05
    When 4 chats of 80 tokens for <version> are under way
    And <version> is withdrawn
    And 4 chats of 4 tokens are sent
    Then <version> got no work after that
    And all requests are answered
    And the change was in force within 5 s

    Examples:
      | deployment | version    |
      | ferrante   | speziale@1 |
      | taurex     | notar@1    |

  @promise.withdrawn @promise.config @promise.not_run
  Scenario: An entry process that was frozen gives a withdrawn version no work
    Given the ferrante deployment
    When 2 chats of 4 tokens are sent
    And garzone@1 is withdrawn while entry-1 is frozen
    And 4 chats of 4 tokens ask entry-1 for garzone@1
    Then garzone@1 got no work after that

  @promise.withdrawn
  Scenario: Waiting work of a withdrawn version goes to another one
    Given the ferrante deployment with engines=1 token_seconds=0.05
    When 12 chats of 40 tokens for garzone are on their way
    And garzone@1 is withdrawn
    Then all requests are answered
    And garzone@1 got no work after that

  @promise.session
  Scenario Outline: Sessions keep their version through a growing roll-out at <deployment>
    Given the <deployment> deployment
    When 8 sessions send a chat for <model>
    And a roll-out of <model> from 1 to 2 starts in steps of 50 each 1 s
    And the roll-out of <model>@2 has reached 50 per cent
    And 8 new sessions send a chat for <model>
    And the roll-out of <model>@2 has reached 100 per cent
    And entry-1 is killed
    And entry-1 is started again
    And all is ready again
    And all sessions send a chat for <model>
    Then every session kept its version
    And all requests are answered

    Examples:
      | deployment | model   |
      | ferrante   | garzone |
      | taurex     | notar   |

  @promise.session @promise.withdrawn
  Scenario: Withdrawal beats the session and the answer says so
    Given the ferrante deployment
    When 4 sessions send a chat for garzone
    And garzone@2 is withdrawn
    And all sessions send a chat for garzone with their tokens
    Then every answer came from garzone@1 and says that the version changed

  @failure.bad_version
  Scenario Outline: A roll-out of a version that turns bad goes back by itself at <deployment>
    Given the <deployment> deployment
    When a roll-out of <model> from 1 to 2 starts in steps of 50 each 60 s
    And the roll-out of <model>@2 has reached 50 per cent
    And <model>@2 turns bad everywhere
    And 40 chats of 4 tokens for <model> are sent
    And <model>@2 is found bad
    And 10 chats of 4 tokens for <model> are sent
    Then the last 10 answers are from <model>@1
    And <model>@2 answered badly less than 30 times

    Examples:
      | deployment | model   |
      | ferrante   | garzone |
      | taurex     | notar   |

  @failure.rollout_cut @failure.vm_lost
  Scenario: A roll-out cut short is carried on by the next holder of the lease
    Given the ferrante deployment
    When a roll-out of garzone from 1 to 2 starts in steps of 10 each 1 s
    And the roll-out of garzone@2 has reached 20 per cent
    And the holder of the lease is killed
    And the roll-out of garzone@2 has reached 60 per cent
    Then the lease has a new holder with a higher fencing number

  @failure.lease_lapse
  Scenario: A holder frozen past its lease gives no order that takes effect
    Given the ferrante deployment with engines=2 services=0
    When the holder of the lease is frozen
    And the lease has passed to another process
    And the frozen holder is thawed
    And an order of the old holder reaches engine-1
    Then no order of the old fencing number took effect

  @promise.billed @promise.allowed
  Scenario: A cascade asks the cheap version first, goes up where it falls short, and bills each step
    Given the ferrante deployment
    When cascades are allowed to infusion
    And infusion sends 40 whole chats of 4 tokens
    Then all requests are answered
    And some answers came from one step and some from two
    And the ledger has one bill for each step that ran
