Feature: Gateways under successive and overlapping faults

  Three gateway processes reach the store and the engines through loopback proxies: one to the store
  per gateway, and one per engine. Callers keep using their connections. The seed determines the
  schedule of faults, which is printed. To run more seeds: make soak-gateway SEEDS=1-50.

  @failure.together
  Scenario Outline: Gateway soak with seed <seed>
    When a gateway soak of <seconds> s is run with seed <seed>
    Then no guarantee was violated

    Examples: fixed seeds of every run
      | seed | seconds |
      | 1    | 4       |
      | 2    | 4       |

    Examples: seeds that have failed
      # 10: an engine of a completed version came back with another version; this was a fault of the
      # soak itself.
      | seed | seconds |
      | 10   | 8       |
