Feature: How gateways share the limit that an engine names
  Without processes or a network. Load pattern: every gateway always has requests for an engine that
  names a limit in its answers, from one request in two seconds to fifty in one, while datagrams are
  lost or seconds late, and gateways restart, join and leave.

  # Guards against a sum over the gateways that grows with their number.
  @failure.overload
  Scenario Outline: <gateways> gateways keep to a limit of <per_s> a second
    Given <gateways> gateways and an engine that limits their requests to <per_s> a second
    And a third of the datagrams is lost, and the others are up to 2 s late
    When <plays> plays of 24 s are simulated
    Then the gateways that were told never send more than the users allow
    And the engine gets at least <share> of what it takes

    Examples:
      | gateways | per_s | plays | share |
      | 1        | 0.5   | 10    | 0.8   |
      | 1        | 50    | 10    | 0.8   |
      | 2        | 1     | 10    | 0.8   |
      | 5        | 1.2   | 10    | 0.8   |
      | 12       | 0.5   | 10    | 0.5   |
      | 12       | 1     | 10    | 0.5   |
      | 12       | 50    | 10    | 0.5   |
      | 60       | 2.4   | 4     | 0.5   |
      | 370      | 0.5   | 1     | 0.5   |
      | 370      | 50    | 1     | 0.5   |

  # Guards against gateways that restart or join, and send before they know of a limit or are known.
  @failure.overload @failure.vm_lost
  Scenario Outline: <gateways> gateways restart, join and leave at a limit of <per_s> a second
    Given <gateways> gateways and an engine that limits their requests to <per_s> a second
    And a third of the datagrams is lost, and the others are up to 2 s late
    And gateways restart and leave every 4 s, and as many as there were join at once
    When <plays> plays of 24 s are simulated
    Then no gateways together ever send more than the users allow

    Examples:
      | gateways | per_s | plays |
      | 1        | 1     | 20    |
      | 3        | 0.5   | 20    |
      | 5        | 1.2   | 20    |
      | 12       | 1     | 20    |
      | 12       | 50    | 20    |
      | 60       | 1     | 4     |

  # Guards against a limit that is kept when it has changed, or that ends at some gateways only.
  @failure.overload
  Scenario Outline: <gateways> gateways follow a limit that rises, falls, ends and begins again
    Given <gateways> gateways and an engine that limits their requests to 50 a second
    And the limit is 1 from 10 s, 0.5 from 18 s, 10 from 26 s, none from 34 s and 2 from 40 s on
    And a third of the datagrams is lost, and the others are up to 2 s late
    When <plays> plays of 52 s are simulated
    Then the gateways that were told never send more than the users allow
    And every gateway knows the last limit

    Examples:
      | gateways | plays |
      | 1        | 10    |
      | 5        | 10    |
      | 12       | 10    |
      | 60       | 2     |

  # Guards against datagrams that fail on a limit of which no answer is known.
  @failure.vm_lost
  Scenario: A limit from a record holds until the first answer, and is not passed on
    Then an engine whose limit is on record is limited, also if its entry comes later
    And the limit is not among those that the gateway tells the others
    And an answer or a report without a limit ends it, and that is passed on
