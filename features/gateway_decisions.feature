Feature: Decisions of the gateway
  Modules without a network, each against the load pattern that it answers.

  Scenario: The longest prefix wins, among thousands of routes
    Given a configuration with 3000 routes
    Then each path finds the route with the longest prefix that begins it
    And a path that no prefix begins finds none

  Scenario: A split keeps sessions together and follows its weights
    Then of 4000 sessions a split of 90 to 10 sends 9 in 10 to the first service
    And the same session always goes to the same service

  @promise.coldstart
  Scenario: Many gateways fill an engine that came back cold
    Then for any number of gateways no second holds more requests than a cold engine bears

  Scenario: Repeats after failures during a burst stay within the shared budget
    Then over any traffic of several gateways no window holds more repeats than allowed

  Scenario: An engine that fails is paused, and tried again after a pause
    Given an engine whose answers fail
    Then it is left out until its pause is over
    And an engine with the usual share of errors is not left out

  @promise.leaving @failure.store_outage
  Scenario: Entries that lapse while the store is away
    Given an engine whose entry vanishes while the store is away
    Then it may still get requests until the store has been back for a while
    And an engine whose entry vanishes at another time is gone at once
    And an engine that was draining is gone at once even then

  @failure.cold_again
  Scenario: A zone that returns is held to be cold
    Given an engine whose zone is taken out and returns
    Then it is held to be cold for a while

  Scenario: Many requests share long prompt parts
    Given 5 engines with equal load
    Then requests with the same prompt part go to the same engine from every gateway
    And parts are spread over all engines
    And a request leaves its part's engine when that holds much more work than the others

  Scenario: Half the engines are slow
    Given 6 engines of which 3 answer slowly
    Then nearly all requests go to the others

  Scenario: Every engine has failed of late
    Given 3 engines that are all paused
    Then one of them is still chosen

  @failure.bad_version
  Scenario Outline: A version that is bad <how>
    Given a roll-out whose new version is bad <how>
    Then it is taken back before <most> of its bad answers were seen

    Examples:
      | how              | most |
      | at once          | 20   |
      | by being slow    | 20   |
      | on one route     | 25   |
      | only under load  | 30   |
      | after a while    | 30   |

  @failure.bad_version
  Scenario: A slow version during a burst that slows every version
    Given a roll-out of a version 8 times slower while 1 in 12 answers of all versions is slow
    Then it is taken back before 20 of its bad answers were seen

  @failure.bad_version
  Scenario: A slow version of a service that is often slow
    Given a roll-out with 9 in 10 slow answers of the new version and 1 in 3 of the old one
    Then it is taken back before 30 of its bad answers were seen

  @failure.bad_version
  Scenario: A version whose streams are all slower while load slows those of the old one
    Then no quick stream among 12 is held against a version and one quick stream is not
    And few streams without a quick one prove nothing

  Scenario: A good version of a service that is often slow
    Given a roll-out with 1 in 3 slow answers of the new version and 1 in 3 of the old one
    Then it completes before its time is over

  @failure.bad_version
  Scenario Outline: A version whose fault never shows in <seconds> s with a share of <share>
    Given a roll-out of <seconds> s whose version may get <share> of the requests
    Then it is completed, and until its deadline it got fewer requests than it may

    Examples:
      | seconds | share |
      | 24      | 0.15  |
      | 16      | 0.15  |
      | 24      | 0.12  |
      | 16      | 0.12  |
      | 60      | 0.1   |

  Scenario: A version on trial is loaded as it will be later
    Then a share of the sessions goes to the same share of the engines on trial

  Scenario: A good version completes in time, also beside failing engines
    Given a roll-out whose new version is good while 1 in 20 answers of all versions fails
    Then it completes before its time is over

  Scenario: No gateway sees enough of a version on trial, but all together do
    Then results of several gateways count together, whichever way they come
    And a gateway that starts again does not take back what it had seen

  Scenario: One gateway asks the store, the others go by its word
    Then a view like another gateway's is as fresh as that one can be at the oldest
    And a mark of an earlier process or of an earlier start of the VM says nothing
    And a view that differs from a fresher one for long has missed a change

  Scenario: A session keeps its version through the first half of a roll-out
    Then a session that is under way keeps its version in the first stages
    And every gateway finds the same version for a new session
    And shares only grow from stage to stage
    And engines of a version that was taken back or is not ordered get nothing

  Scenario: A small model answers first, a larger one where it is unsure
    Then a trusted answer is passed on and an unsure one is not
    And an unsure answer is passed on when there is no time for another
    And a request that only one engine may run goes to the largest model

  Scenario: An engine that died without a word, and one that is only slow
    Then an engine that is silent on all connections is left early
    And an engine that goes on with other answers is left only late

  Scenario: Answers of a version that take several times as long as usual
    Then answers of 8 times the usual length are slow and those of twice are not
    And nothing is slow before there are enough answers to know

  @promise.answer
  Scenario: Events of a stream arrive in pieces of any size
    Then any cutting of a stream gives the same whole events
    And events that the caller has are not passed on again
    And a missing event is noticed

  Scenario: Logs under load are bounded and never block
    Given a log whose reader takes nothing
    Then 20000 lines are written in a moment and the dropped ones are counted
    When its reader takes lines again
    Then a line tells how many were dropped

  Scenario: Settings are checked with all faults at once
    Given platform settings without a store address and with a bad port
    Then the error names both and how to mend them

  Scenario: What was confirmed gets old, also while the VM is suspended
    Then knowledge is as old as the call that confirmed it
    And a watch that saw nothing for its whole time confirms less than that time
