Feature: Gateways, engines and callers as processes of their own
  Load pattern: callers try again as the platform's callers do, at other gateways, while gateways and
  engines are stopped, killed, replaced and restarted and their links are slow, cut or reset. Engines
  log the begin and the end of each run. To play more: make rig SEEDS=1-20 SIZE=ferrante.

  # Guards against an order that runs twice, and a request on which two engines work (TWICE).
  @promise.once @failure.together
  Scenario Outline: Nothing runs twice, or at two engines at a time, with seed <seed>
    When the rig plays <seconds> s with seed <seed>
    Then it reports no breach, and enough has run

    Examples:
      | seed | seconds |
      | 1    | 10      |
      | 2    | 10      |

  # Guards against a rig that would not notice what it is for.
  Scenario: The rig notices gateways that leave connections of given-up requests open
    When the rig plays 10 s with seed 1 and gateways with the fault "no close"
    Then it reports that engines worked on one request at the same time

  # Guards against a rig that would not notice what it is for: each fault is a hypothesis on orders that ran twice.
  Scenario Outline: The rig notices gateways with the fault "<fault>"
    When the rig plays 10 s, mostly orders, with seed <seed> and gateways with the fault "<fault>"
    Then it reports <what>

    Examples:
      | fault                 | seed | what                                            |
      | any refusal           | 3    | that requests ran twice or were falsely refused |
      | copied refusal        | 1    | that requests ran twice or were falsely refused |
      | retry after a reset   | 2    | that requests ran twice or were falsely refused |
      | retry after a timeout | 1    | that requests ran twice or were falsely refused |
