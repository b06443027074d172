Feature: End-to-end requests
  Separate processes serve a request from end to end.

  Scenario Outline: Requests of all kinds are answered at <deployment>
    Given the <deployment> deployment
    When 6 chats of 8 tokens are sent
    And 4 lookups are sent
    And 4 orders are sent
    Then all requests are answered
    And the records are consistent

    Examples:
      | deployment |
      | ferrante   |
      | taurex     |
