Feature: At most once, billed once, and true refusals

  @promise.at_most_once @failure.lost_answer
  Scenario Outline: Lost answers of the object API neither double nor lose an order at <deployment>
    Given the <deployment> deployment
    When the platform loses the answers of 6 changes of claims
    And 6 orders are sent
    Then all requests are answered
    And each order ran once
    And the records agree

    Examples:
      | deployment |
      | ferrante   |
      | taurex     |

  @promise.at_most_once
  Scenario: One order sent many times at once runs once
    Given the ferrante deployment
    When the services take 0.5 s for a call
    And the same order is sent 12 times at once
    Then all requests are answered
    And each order ran once

  @promise.at_most_once @failure.vm_lost
  Scenario Outline: An order whose entry process is lost is answered through another at <deployment>
    Given the <deployment> deployment
    When the services take 1.5 s for a call
    And 4 orders are under way at entry-1
    And entry-1 is killed
    And all have ended
    And the callers send the same orders again through the other entry
    Then no order ran twice
    And each order sent again was answered

    Examples:
      | deployment |
      | ferrante   |
      | taurex     |

  @promise.at_most_once @failure.vm_lost
  Scenario: An order whose server falls is not sent a second time
    Given the taurex deployment
    When the services fall after the next call they run
    And 2 orders are sent
    Then every request is refused as unknown-not-repeated
    When the callers send the same orders again through the other entry
    Then every request is refused as unknown-not-repeated
    And no order ran twice

  @promise.at_most_once @failure.silent_connection
  Scenario: An order on a connection that goes silent runs once and is answered
    Given the taurex deployment with paths=1 services=1
    When the services take 1.5 s for a call
    And 3 orders are under way
    And the path to service-1 goes silent
    Then all requests are answered
    And each order ran once
    And some entry counted reattached

  @promise.not_run @promise.at_most_once @failure.store_outage
  Scenario Outline: While the store is out orders are refused truthfully and the rest goes on at <deployment>
    Given the <deployment> deployment
    When the platform is out
    And 4 orders are sent
    Then every request is refused as not-run
    And nothing ran
    When the platform is back
    And the callers send the same orders again through the other entry
    Then each order sent again was answered
    And each order ran once

    Examples:
      | deployment |
      | ferrante   |
      | taurex     |

  @failure.store_outage @promise.billed
  Scenario: The data path goes on while the store is out, and is billed afterwards
    Given the ferrante deployment
    When the platform is out
    And 6 chats of 8 tokens are sent
    And 4 lookups are sent
    And the platform is back
    Then all requests are answered
    And the records agree

  @promise.not_run @failure.pool_out
  Scenario: A pool that is out is refused as not run, and serves again when it is back
    Given the ferrante deployment with engines=2
    When engine-1.backend is killed
    And engine-2.backend is killed
    And 2 chats of 4 tokens are sent
    Then every request is refused as not-run
    And nothing ran
    When engine-1.backend is started again
    And engine-2.backend is started again
    And all is ready again
    And the results are forgotten
    And 4 chats of 4 tokens are sent
    Then all requests are answered

  @promise.billed @failure.lost_answer
  Scenario: Each request is billed once though answers of the object API are lost
    Given the taurex deployment
    When the platform loses the answers of 3 changes of bills
    And 8 chats of 4 tokens are sent
    And 4 lookups are sent
    Then the records agree

  @promise.billed @failure.vm_lost
  Scenario Outline: Each request is billed once though its <process> is killed after the answer
    Given the ferrante deployment with engines=2
    When bills are held back
    And 4 chats of 4 tokens are sent to entry-1
    And <process> is killed
    And bills are let through
    Then all requests are answered
    And the records agree

    Examples:
      | process  |
      | entry-1  |
      | engine-1 |

  @promise.billed @failure.store_outage @failure.vm_lost
  Scenario: Each request is billed once though first its sidecar and then its entry process is lost
    Given the taurex deployment with engines=1
    When bills are held back
    And 6 chats of 4 tokens are sent to entry-1
    And engine-1 is killed
    And entry-1 has seen the loss of engine-1
    And entry-1 holds no bill alone
    And entry-1 is killed
    And bills are let through
    Then the records agree
