Feature: One gateway at a time reports the usage of all
  The platform takes one report for each window and checks no tokens. Load pattern of the decisions:
  dozens of gateways count the same organisations, and any of them is killed, suspended or cut off at
  any moment. The processes run with a lease of 1.2 s and windows of 1 s.

  # Guards against two reporters at a time, also where a renewal changes nothing else in the record.
  @failure.lease_lapse @failure.lost_answer
  Scenario: Gateways claim the duty while writes are lost, late or answered late, and VMs are suspended
    Then over 400 random histories no two gateways hold the duty at the same time
    And no token is used by two of them, and none is lower than one before

  @failure.store_outage
  Scenario: The store comes back from an older copy while the duty is held
    Then over 200 random histories with a restored store no token is used again and no two gateways act

  @failure.store_outage @failure.vm_lost
  Scenario: The holder of the duty dies while the store is away
    Given a record that its holder was heard to renew 5 s ago, and a lease of 3 s
    Then a gateway that reads this very record may claim the duty at once
    And one that reads a later record waits for a lease

  Scenario: Hundreds of gateways send their counts, in any order and more than once
    Then the sums by window and organisation equal what began, whatever is repeated or crossed

  @failure.vm_lost
  Scenario: A gateway is killed in the middle of a window
    Then its window is fixed before its report is due, with what the killed gateway had sent
    And a window whose gateways have all sent their counts is fixed at once
    And a third gateway that takes the duty gets the counts of a killed one from whoever has them
    And a gateway that has just taken the duty waits for counts that were sent to others
    And no window is fixed twice, and windows of an outage are made up, the oldest first

  Scenario: Settings for duties that cannot be used
    Then each of these settings is reported with its remedy, and the gateway starts
      | table                                                        | bounds                  | fault             |
      | address = "127.0.0.1:80"\nduties = ["counting"]              | report-interval-s = 5   | 'counting'        |
      | address = "127.0.0.1:80"\nduties = ["metering"]              | report-interval-s = 0   | report-interval-s |
      | address = "nowhere"\nduties = ["metering"]                   | report-interval-s = 5   | provider.address  |
      | address = "127.0.0.1:80"\nduties = "metering"                | report-interval-s = 5   | list of names     |
      | address = "127.0.0.1:80"\nduties = ["metering"]\nduties-per-s = 0 | report-interval-s = 5 | duties-per-s   |
    And settings without duties lead to datagrams without a word on them

  Scenario: Three gateways count, one reports
    Given three gateways whose usage is reported
    When 60 reads are sent to all of them
    Then 60 requests are reported, each window once, by one gateway

  @failure.vm_lost
  Scenario: The gateway that reports is killed
    Given three gateways whose usage is reported
    When 30 reads are sent to all of them
    And the gateway that reports is killed
    And 30 reads are sent to the others
    Then another gateway reports, and no rule on duties is broken
    And at least 50 requests are reported

  # Guards against a holder that wakes between the check of its lease and its call.
  @failure.lease_lapse
  Scenario: The gateway that reports is suspended for longer than its lease
    Given three gateways whose usage is reported
    When 30 reads are sent to all of them
    And the gateway that reports is suspended until another one reports
    And 30 reads are sent to the others
    Then another gateway reports, and no rule on duties is broken

  @failure.lost_answer
  Scenario Outline: Reports meet a service that <what>
    Given three gateways whose usage is reported
    When the service that takes reports is "<mode>" for 3 s while 40 reads are sent
    Then 40 requests are reported, and no rule on duties is broken

    Examples:
      | what                                   | mode    |
      | refuses calls beyond its rate          | limited |
      | does not answer                        | silent  |
      | takes effect without an answer         | lossy   |

  # Guards against a successor that reports other counts than those that were fixed.
  @failure.vm_lost @failure.lost_answer
  Scenario: The gateway that reports is killed between fixing counts and their report's answer
    Given three gateways whose usage is reported
    When the service that takes reports is "silent"
    And 30 reads are sent to all of them
    And the gateway that reports is killed once it has tried
    And the service that takes reports is "up"
    Then another gateway repeats exactly what the killed one tried

  @failure.store_outage
  Scenario: The store is away for several windows
    Given three gateways whose usage is reported
    When the store is away for 4 s while 40 reads are sent
    Then 40 requests are reported, and no rule on duties is broken

  @failure.store_outage
  Scenario: The store comes back from an older copy while gateways report
    Given three gateways whose usage is reported
    When 20 reads are sent to all of them
    And the store comes back from a copy that another gateway's duty is older than
    And 20 reads are sent to all of them
    Then 40 requests are reported, and no rule on duties is broken

  # Guards against a holder that goes on though the store does not answer it.
  @failure.store_outage
  Scenario: The gateway that reports loses its path to the store, and keeps that to the service
    Given three gateways whose usage is reported
    When 20 reads are sent to all of them
    And the gateway that reports is cut off from the store
    And 20 reads are sent to the others
    Then another gateway reports, and no rule on duties is broken
    And at least 36 requests are reported
