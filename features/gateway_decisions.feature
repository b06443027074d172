Feature: Decisions of the gateway
  The decision modules run without a network, each under the load pattern that it handles.

  Scenario: Requests are routed by the longest prefix among thousands of routes
    Given a configuration with 3000 routes
    Then each path is routed by the longest prefix that matches it
    And a path without a matching prefix has no route

  Scenario: A split follows its weights and keeps a session on one service
    Then of 4000 sessions a split of 90 to 10 sends 9 in 10 to the first service
    And the same session always goes to the same service

  @promise.coldstart
  Scenario: Many gateways send requests to an engine that returns cold
    Then for any number of gateways no second has more requests than a cold engine can handle

  Scenario: Retries during a burst of failures stay within the shared budget
    Then for any traffic of several gateways no window has more retries than allowed

  Scenario: A failing engine is paused, and used again after the pause
    Given an engine whose answers fail
    Then it is not used until its pause is over
    And an engine with the usual share of errors remains in use

  @promise.leaving @failure.store_outage
  Scenario: Entries that expire during an outage of the store
    Given an engine whose entry expires during an outage of the store
    Then it may receive requests until the store has been available for a while
    And an engine whose entry disappears at another time is removed immediately
    And a draining engine is removed immediately even during an outage

  @failure.cold_again
  Scenario: A zone that returns to service is treated as cold
    Given an engine whose zone is evacuated and returns to service
    Then it is treated as cold for a while

  Scenario: Many requests share long prompt parts
    Given 5 engines with equal load
    Then requests with the same prompt part go to the same engine from every gateway
    And prompt parts are spread over all engines
    And a request leaves the preferred engine of its part when that is much busier than the others

  Scenario: Hundreds of gateways report their load, and each request looks every engine up
    Then the sums by engine equal the reports that have not expired, in any order of arrival
    And a look-up reads no report, however many gateways there are
    And a report without running requests leaves no trace

  Scenario: Hundreds of gateways choose among dozens of engines by the prompt part
    Then processes with different seeds of the hash function prefer the same engines
    And the loss of one engine moves only the prompt parts that it had

  Scenario: Hundreds of gateways choose among thousands of engines
    Then of 2800 engines at most 67 are compared for a request
    And the engine that keeps a prompt part is among them, the same at every gateway
    And the loss of an engine moves only its own prompt parts to another engine
    And 20000 requests are spread evenly over the engines, half of them in the own zone
    And a change of any engine shows in the next offer
    And a group of 64 engines is offered whole

  Scenario: Prompts differ a hundredfold in length, and models tenfold in pace
    Then the work of a prompt grows faster than its length and with the price of the model
    And a long prompt goes to the engine with the fewest streams, and short ones go elsewhere
    And requests with short shared parts do not queue at one engine while slots are free
    And an engine that fails requests does not get the long prompts, though it looks idle
    And the largest model is not asked for a prompt that it cannot read within the target
    And an engine that reads long prompts may be silent for longer, but not without end

  Scenario: An engine fails while the others are full for a moment
    Then a request that no engine has run is refused after an eighth of its target at most
    And one that may have run waits up to half of its target, as its caller gets no second chance

  Scenario: A task ends with an unexpected error
    Then the task runs again after a pause, and each error is reported
    And a task that is cancelled or returns does not run again

  Scenario: Many large bodies arrive at the same time
    Then bodies take no more memory together than the budget, and return it
    And a body is given up at its own limit, and one body takes half of the budget at most

  # Guards against an endless body for which the answers of others are thrown away (LOST).
  Scenario: Bodies without end arrive beside small and large sound ones
    Then the largest body that is still being received gives way, and returns its bytes at once
    And a body that outgrows all others gives way itself, and whole ones never do
    And an answer that cannot be had again gives way after larger parts of others
    And a small answer fits although whole ones have taken all
    And incomplete events of many streams take no more than the budget together

  Scenario: Half the engines are slow
    Given 6 engines of which 3 answer slowly
    Then nearly all requests go to the other engines

  Scenario: All engines have failed recently
    Given 3 engines that are all paused
    Then one of them is still chosen

  @failure.bad_version
  Scenario Outline: A version that is bad <how> is rolled back
    Given a rollout whose new version is bad <how>
    Then it is rolled back before it has given <most> bad answers

    Examples:
      | how                | most |
      | immediately        | 20   |
      | because it is slow | 20   |
      | on one route       | 25   |
      | only under load    | 30   |
      | after some time    | 30   |

  @failure.bad_version
  Scenario: A slow version is rolled back during a burst that slows every version
    Given a rollout of a version 8 times slower while 1 in 12 answers of all versions is slow
    Then it is rolled back before it has given 20 bad answers

  @failure.bad_version
  Scenario: A slow version of an often slow service is rolled back
    Given a rollout with 9 in 10 slow answers of the new version and 1 in 3 of the old one
    Then it is rolled back before it has given 30 bad answers

  @failure.bad_version
  Scenario: A version whose streams are all slow is detected while load slows the old version
    Then a version with no quick stream among 12 is bad and one with one quick stream is not
    And few streams without a quick one are not sufficient evidence

  # Guards against slow streams that count as quick on a route whose few usual ones met load (EXPOSURE).
  @failure.bad_version
  Scenario: A stream is compared with the fastest ones of its model on any route
    Given 20 usual streams of a model with 25 ms between events, then 10 with 70 ms
    Then a stream with 95 ms between events is not quick, and one with 45 ms is

  # Guards against good versions that are rolled back beside faster streams of other models.
  Scenario: A stream is not compared with those of other models
    Given 20 usual streams of a model with 10 ms between events, then 10 with 12 ms
    Then one with 95 ms is quick for the same model of another service
    And one with 95 ms is quick on a route whose callers choose the model

  # Guards against good versions that are rolled back after a gateway has stalled for a moment.
  Scenario: Streams that waited in a buffer are no measure for the others
    Given 20 usual streams of a model with 25 ms between events, then 10 with 25 ms
    Then after a stream whose events all came at once, one with 28 ms is still quick

  # Guards against a rollback after one slow stream, while the old version has had few streams.
  Scenario: One stream that is not quick is no fault of a version
    Then a version with no quick stream among 1 is not bad while all 3 of the old one were quick

  Scenario: A good version of an often slow service is completed
    Given a rollout with 1 in 3 slow answers of the new version and 1 in 3 of the old one
    Then it completes before its deadline

  @failure.bad_version
  Scenario Outline: A version with a hidden fault stays within a share of <share> in <seconds> s
    Given a rollout of <seconds> s whose version may receive <share> of the requests
    Then it is completed, and until its deadline it received fewer requests than allowed

    Examples:
      | seconds | share |
      | 24      | 0.15  |
      | 16      | 0.15  |
      | 24      | 0.12  |
      | 16      | 0.12  |
      | 60      | 0.1   |

  # Guards against a fault of one kind of request that the other kinds hide.
  @failure.bad_version
  Scenario: A version is judged on each route by what is usual there
    Then 3 errors in 6 answers are a fault where the old version has none, whatever fails elsewhere
    And 3 errors in 6 answers are none where the old version has as many
    And 3 streams that end with one engine are no fault of a version

  # Guards against a rollout that is completed before enough is known of each kind of request.
  @failure.bad_version
  Scenario Outline: A plain service's version that fails <kind> requests from <seconds> s on is rolled back
    Given 200 rollouts whose new version fails half of the <kind> requests from <seconds> s on
    Then none is completed, and no new version receives more requests than allowed

    Examples: kind and start of the fault
      | kind | seconds |
      | book | 0       |
      | look | 0       |
      | book | 3       |

  # Guards against a slow version whose times stay below a fixed bound for slow answers.
  @failure.bad_version
  Scenario: A plain service's version that is slow is rolled back
    Given 200 rollouts whose new version answers half of all requests 8 times slower
    Then none is completed, and no new version receives more requests than allowed

  # Guards against versions whose fault meets fewer requests than every second one.
  @failure.bad_version
  Scenario: A plain service's version that is bad for three requests in ten is rolled back
    Given 200 rollouts whose new version fails 0.3 of the book requests
    Then 98 in 100 at least are rolled back in time
    Given 200 rollouts whose new version answers 0.3 of all requests 8 times slower
    Then none is completed, and no new version receives more requests than allowed
    Given 200 rollouts whose new version answers 0.3 of all requests 4 times slower
    Then 92 in 100 at least are rolled back in time

  Scenario: A good version of a plain service with several kinds of requests is completed
    Given 200 rollouts whose new version is good
    Then 95 in 100 at least are completed, and 75 in 100 before the deadline

  # Guards against a slow version of a model service that is completed after a dozen streams.
  @failure.bad_version
  Scenario: A model service's version that is slow is rolled back
    Given 200 rollouts of models whose new version answers half of all requests slowly
    Then none is completed, and no new version receives more requests than allowed

  # Guards against a slow version of a model service whose streams end after the rollout.
  @failure.bad_version
  Scenario: A model service's version that is slow now and then is rolled back
    Given 200 rollouts of models whose new version answers 0.3 of all requests slowly
    Then 95 in 100 at least are rolled back in time

  # Guards against a fault of one kind of stream that the other kinds hide.
  @failure.bad_version
  Scenario Outline: A model service's version that fails <kind> requests is rolled back
    Given 200 rollouts of models whose new version fails 0.5 of the <kind> requests
    Then none is completed, and no new version receives more requests than allowed

    Examples:
      | kind    |
      | dossier |
      | label   |

  Scenario: A good version of a model service is completed
    Given 200 rollouts of models whose new version is good
    Then 95 in 100 at least are completed, and 75 in 100 before the deadline

  Scenario: Answers of a slow version are recognised as slow, also where the usual ones are quick
    Then an answer 8 times slower than 30 ms is slow and one 2 times slower is not

  Scenario: The engines of a version on trial carry their later load
    Then a share of the sessions is sent to the same share of the engines on trial

  Scenario: A good version is completed in time, even beside failing engines
    Given a rollout whose new version is good while 1 in 20 answers of all versions fails
    Then it completes before its deadline

  @failure.rollout_cut
  Scenario: Hundreds of gateways advance a rollout, and most of them are down or refused
    Then of 370 gateways one writes first, and another write has another order
    And with one in three gateways left a write is late by less than 0.5 s, whichever are left
    And with 369 of 370 gateways away a write is late by less than 1 s

  @failure.rollout_cut
  Scenario: All gateways are restarted in the middle of a rollout
    Then a restarted gateway counts the time of a running rollout from its start
    And it decides nothing from that time before it could hear the others
    And a start that makes no sense is bounded by the order's duration
    And a second order for the same version starts from zero

  # Guards against requests that share a part of their prompts and crash one engine after the other.
  @failure.poison
  Scenario: The prompt part that explains the crashes is blamed, and no other part of the requests
    Then the part in the requests of 3 crashes is blamed, whichever gateway saw each of them
    And the first part of all prompts is not, even if no answer has been complete
    And one request that comes again is blamed, and no part of its prompt
    And a part with a complete answer since is not blamed
    And a part that turns bad is blamed after 5 crashes
    And where the crashes go on without a blamed part, the next likely one is blamed for all

  # Guards against a part that crashes its engines late in their answers, and is never blamed (LOST).
  @failure.poison
  Scenario: The point of an answer at which an engine crashes says nothing about its requests
    Then a part is blamed however far the answers had got when their engines crashed
    And one whose engine crashes right after a complete answer is blamed all the same
    And each crash counts of an engine that is back under its id at once

  # Guards against a sound request that is refused for good as engines crashed under it (Starved).
  @failure.poison
  Scenario: A request that runs on engines which crash for other reasons is not blamed
    Then a request with a complete answer since is not blamed
    And the parts and requests of three crashes by chance are not told to others for ever

  # Guards against a request that crashes engines late in their answers, and comes again (BUDGET).
  @failure.poison
  Scenario Outline: A request that comes again crashes engines after <share> in 100 of their answers
    Given engines that crash after <share> in 100 of an answer
    Then a request that crashes engines is refused when it comes again, and hardly any other

    Examples:
      | share |
      | 0     |
      | 10    |
      | 90    |

  # Guards against a part that crashes engines late in their answers, beside many sound requests (BUDGET).
  @failure.poison
  Scenario Outline: A part crashes engines after <share> in 100 of their answers
    Given engines that crash after <share> in 100 of an answer
    Then a part that crashes engines from 10 s on is refused, and hardly any other request

    Examples:
      | share |
      | 0     |
      | 5     |
      | 30    |
      | 70    |
      | 99    |

  @failure.poison
  Scenario: Engines crash for other reasons while many requests wait there
    Then no part is blamed when all of 10 engines crash at once, twice
    And no part is blamed when all of 5 engines crash at once right after the start
    And 370 gateways that report the crashes of a zone again and again cost little

  # Guards against a part that crashes engines after it was sound, and against blame by chance.
  @failure.poison
  Scenario: A part of many requests crashes engines, while others are asked for as often
    Given 5 engines, and 5 gateways with 30 requests per second
    Then a part that crashes engines from 0 s on is refused, and hardly any other request
    And a part that crashes engines from 20 s on is refused, and hardly any other request
    And a sound part that crashes engines from 20 s on is refused, and hardly any other
    And hardly any request is refused when engines crash by chance each 3 s
    And hardly any is when 2 of them go down again and again
    Given 9 engines, and 4 gateways with 54 requests per second
    Then a part that crashes engines from 20 s on is refused, and hardly any other request

  @failure.poison
  Scenario: Gateways adopt the latest decision on a prompt part
    Then a part that another gateway blames is refused, and one that it clears is not
    And an earlier decision does not replace a later one
    And a part that another gateway clears is not blamed for the same crashes again
    And a blamed part is tried again by one request of all gateways, each time much later
    And a gateway that has just started tries it no sooner than the others
    And a part that engines have answered lately is not blamed, whoever blames it
    And a part that has just been sound is blamed if it has crashed engines since

  Scenario: Gateways pool their results on a version on trial
    Then results of several gateways are summed, from datagrams as well as from records
    And the lower counts of a restarted gateway do not replace its earlier ones
    And a request that fails twice on a version counts once, and a later success counts as well
    And each route has its own results, and a message carries those with the most answers

  # Guards against datagrams that are split on their way, and then lost with any of their pieces.
  Scenario: A gateway of a large fleet has more to report than fits a datagram
    Given a message on 300 engines, 12 routes of a rollout and 36 broken runs
    Then it fits a datagram once it is shrunk, and still names the busiest engines
    And a message on 3 engines is not changed

  Scenario: One gateway queries the store and the others rely on its reports
    Then a view that equals another gateway's takes over the oldest age which that may have
    And timestamps of an earlier process or an earlier boot of the VM are ignored
    And a view that differs from a fresher one for too long has missed a change

  Scenario: A rollout of a large fleet waits until its gateways know the active sessions
    Then the first stage begins after 1 s with 50 held sessions, and after 3 s with 3000
    And it begins within a tenth of the rollout's time, and within 5 s

  Scenario: A session keeps its version through the first half of a rollout
    Then an active session keeps its version in the first stages
    And every gateway chooses the same version for a new session
    And shares only grow from stage to stage
    And engines of a version that was rolled back or not ordered receive no requests

  Scenario: A cascade starts with the small model and continues with the large one
    Then an answer with high confidence is forwarded and one with low confidence is not
    And an answer with low confidence is forwarded if there is no time for another one
    And a request that only one engine may run goes to the largest model

  Scenario: The longest prompts take the largest model most of the latency target
    Then a response of low confidence is followed by the largest model that is in time
    And a prompt that the largest model can read in time only at once skips the smallest one

  Scenario: Engines pause between the events of sound streams
    Then a stream of an engine that usually pauses within the target stays, and others leave early

  Scenario: An engine that died silently is told apart from a slow one
    Then an engine that is silent on all connections is abandoned early
    And an engine that still sends other answers is abandoned only late

  Scenario: Answers of a slow version are recognised as slow
    Then answers that take 8 times as long as usual are slow and those of twice the time are not
    And a stream with 8 times the usual pauses crawls, and one with 3 times the pauses does not
    And no answer is slow before there are enough answers for a baseline

  @promise.answer
  Scenario: Events of a stream arrive in chunks of any size
    Then a stream split at any positions has the same complete events
    And events that the caller already has are not forwarded again
    And a missing event is detected

  Scenario: Logging under load is bounded and does not block
    Given a log that is not read
    Then 20000 lines are written without blocking and the dropped ones are counted
    When the log is read again
    Then a log line has the number of dropped lines

  Scenario: All errors of the settings are reported at once
    Given platform settings without a store address and with an invalid port
    Then the error message names both errors and how to correct them

  Scenario: Confirmations age from the time of their call
    Then the age of a confirmation counts from the call, not from its answer
    And a watch that ends without a change confirms less than its whole duration
