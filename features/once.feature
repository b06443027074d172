Feature: At-most-once execution, billing and correct refusals

  @promise.at_most_once @failure.lost_answer
  Scenario Outline: Lost answers of the object API neither repeat nor lose an order at <deployment>
    Given the <deployment> deployment
    When the platform applies 6 changes of claims without answering them
    And 6 orders are sent
    Then all requests are answered
    And each order ran once
    And the records are consistent

    Examples:
      | deployment |
      | ferrante   |
      | taurex     |

  @promise.at_most_once
  Scenario: One order sent many times concurrently runs once
    Given the ferrante deployment
    When the services take 0.5 s per call
    And the same order is sent 12 times concurrently
    Then all requests are answered
    And each order ran once

  @promise.at_most_once @failure.vm_lost
  Scenario Outline: An order whose entry process is lost is answered through another at <deployment>
    Given the <deployment> deployment
    When the services take 1.5 s per call
    And 4 orders are running at entry-1
    And entry-1 is killed
    And all requests have ended
    And the callers repeat the same orders through another entry process
    Then no order ran twice
    And each repeated order was answered

    Examples:
      | deployment |
      | ferrante   |
      | taurex     |

  @promise.at_most_once @failure.vm_lost
  Scenario: An order whose server crashes is not sent again
    Given the taurex deployment
    When the services crash after the next call that they run
    And 2 orders are sent
    Then every request is refused as unknown-not-repeated
    When the callers repeat the same orders through another entry process
    Then every request is refused as unknown-not-repeated
    And no order ran twice

  @promise.at_most_once @failure.silent_connection
  Scenario: An order on a connection that goes silent runs once and is answered
    Given the taurex deployment with paths=1 services=1
    When the services take 1.5 s per call
    And 3 orders are running
    And the open connections to service-1 go silent
    Then all requests are answered
    And each order ran once
    And some entry process counted reattached

  @promise.not_run @promise.at_most_once @failure.store_outage
  Scenario Outline: Orders are refused as not run during an outage of the store at <deployment>
    Given the <deployment> deployment
    When the platform is unavailable
    And 4 orders are sent
    Then every request is refused as not-run
    And no request ran
    When the platform is available again
    And the callers repeat the same orders through another entry process
    Then each repeated order was answered
    And each order ran once

    Examples:
      | deployment |
      | ferrante   |
      | taurex     |

  @failure.store_outage @promise.billed
  Scenario: Requests are served during an outage of the store and billed afterwards
    Given the ferrante deployment
    When the platform is unavailable
    And 6 chats of 8 tokens are sent
    And 4 lookups are sent
    And the platform is available again
    Then all requests are answered
    And the records are consistent

  @promise.not_run @failure.pool_out
  Scenario: Requests for an unavailable pool are refused as not run until it is available again
    Given the ferrante deployment with engines=2
    When engine-1.backend is killed
    And engine-2.backend is killed
    And 2 chats of 4 tokens are sent
    Then every request is refused as not-run
    And no request ran
    When engine-1.backend is restarted
    And engine-2.backend is restarted
    And all processes are ready again
    And the results so far are discarded
    And 4 chats of 4 tokens are sent
    Then all requests are answered

  @promise.billed @failure.lost_answer
  Scenario: Each request is billed once although answers of the object API are lost
    Given the taurex deployment
    When the platform applies 3 changes of bills without answering them
    And 8 chats of 4 tokens are sent
    And 4 lookups are sent
    Then the records are consistent

  @promise.billed @failure.vm_lost
  Scenario Outline: Each request is billed once although its <process> is killed after the answer
    Given the ferrante deployment with engines=2
    When the object API refuses bills
    And 4 chats of 4 tokens are sent to entry-1
    And <process> is killed
    And the object API accepts bills again
    Then all requests are answered
    And the records are consistent

    Examples:
      | process  |
      | entry-1  |
      | engine-1 |

  @promise.billed @failure.store_outage @failure.vm_lost
  Scenario: Each request is billed once although its sidecar and then its entry process are lost
    Given the taurex deployment with engines=1
    When the object API refuses bills
    And 6 chats of 4 tokens are sent to entry-1
    And engine-1 is killed
    And entry-1 has lost its connection to engine-1
    And each bill at entry-1 has a second holder
    And entry-1 is killed
    And the object API accepts bills again
    Then the records are consistent

  # Guards against requests that wait at an entry process and run after their callers have left (GONE).
  @promise.gone
  Scenario Outline: <kind> that wait for a server leave with their callers
    Given the ferrante deployment with services=1
    When service-1 is killed
    And 4 <kind> are started whose callers leave after 0.5 s
    And all requests have ended
    And service-1 is restarted
    And all processes are ready again
    And 1 <kind> are sent
    Then only the last of the <kind> have run

    Examples:
      | kind    |
      | orders  |
      | lookups |
