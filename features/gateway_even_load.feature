Feature: Even load of engines from news that is a little old
  Load pattern: dozens to hundreds of gateways choose among the same engines at the same moment, by loads
  that were reported a quarter of a second ago or more. Prompts differ a hundredfold in length.

  # Guards against gateways that all choose the engine which looked idle in the same report.
  Scenario Outline: <gateways> gateways choose among <engines> engines by news that is <age> s old
    Given <gateways> gateways, <engines> engines, and reports every <age> s
    Then prompts wait at most <mean> times as long as when gateways compare all engines
    And one in a hundred waits at most <late> times as long as then

    Examples: The news is old
      | gateways | engines | age  | mean | late |
      | 30       | 24      | 0.25 | 0.6  | 0.8  |
      | 30       | 24      | 1.5  | 0.6  | 0.9  |
      | 370      | 48      | 0.25 | 0.4  | 0.6  |
      | 370      | 48      | 1.5  | 0.4  | 0.6  |

    Examples: Nothing is lost where few choose
      | gateways | engines | age  | mean | late |
      | 2        | 24      | 0.25 | 1.5  | 1.3  |

  Scenario: Each change of load is known at once
    Given 30 gateways, 24 engines, and reports every 0 s
    Then prompts wait at most 0.02 s on average, a fiftieth of a target of 1 s

  Scenario: A prompt part is kept by one engine among many
    Then the engine that keeps the part is compared for each request, whichever others are
    And a request leaves it once it is busier by more than the part saves

  @failure.overload
  Scenario: All engines but one fail, are tried or pause
    Then the one that is left is chosen each time

  Scenario: Reports on loads are packed and read
    Then any loads are read as they were written, but for rounding, those with the most work first
    And 24 engines take at most 170 bytes, and a report that was cut is refused
    And of 2800 engines at most 4 share their key with another one

  Scenario: Results of a rollout change on few routes at a time
    Then a result is sent in the 2 messages after each change, and at no other time
    And in a fleet of which each message reaches half, it is sent in 4
