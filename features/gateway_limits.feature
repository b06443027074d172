Feature: Engines that limit the requests from all gateways together
  Load pattern: engines in need name in their answers how many requests a second they take from all
  gateways together, as few as one; callers send many more, to every gateway. Other engines serve
  meanwhile; if there are none, callers are told at once when to come back.

  # Guards against a limit that no gateway keeps, or that each gateway keeps for itself.
  @failure.overload
  Scenario: Three gateways together keep to the limit that an engine names
    Given three gateways that connect to the engines directly
    And one engine of each service limits its requests to 1.2 a second
    When reads and chats are sent to the gateways in turn for 13 s
    Then each of those engines gets at most 12 requests in any 4 s from 3 s after it named its limit
    And it still gets some
    And all reads and chats are answered

  # Guards against requests that wait for an engine whose limit leaves nothing for them.
  @failure.overload
  Scenario: Requests that find all engines at their limits are refused at once
    Given three gateways that connect to the engines directly
    And every plain engine limits its requests to 1 a second
    When reads are sent to the gateways in turn for 13 s
    Then each of those engines gets at most 11 requests in any 4 s from 3 s after it named its limit
    And some reads are answered, and the others refused within 0.5 s, to come back in 0.1 to 10 s

  # Guards against an engine that stays limited at gateways that get no answers of it.
  Scenario: All gateways learn that a limit has ended
    Given three gateways that connect to the engines directly
    And one engine of each service limits its requests to 0.5 a second
    When reads and chats are sent to the gateways in turn for 3 s
    Then every gateway knows of the limit of each of those engines
    When those engines name no limit any more
    And reads and chats are sent to the gateways in turn for 6 s
    Then every gateway knows that they have none

  # Guards against a gateway that starts and sends before an engine has told it, or fails on a limit
  # that it knows from the store only.
  @failure.overload @failure.vm_lost
  Scenario: A gateway that is started again knows the limits on record
    Given three gateways that connect to the engines directly
    And one engine of each service limits its requests to 0.5 a second
    When reads and chats are sent to the gateways in turn for 3 s
    Then every gateway knows of the limit of each of those engines
    When each limit is in a gateway's record, and a gateway is killed and started again
    Then it has read the limit of each of those engines from the records
    And the others hear it, and no task of it has failed

  # Guards against a gateway that gets no answers of an engine, and sends to it or spares it for good.
  @failure.overload
  Scenario: A gateway hears from another one that a limit begins and ends
    Given a gateway with a stand-in store and stand-in engines
    And another gateway "entry-2" is registered and gets datagrams
    When it reports without an echo that the engine "plain-0" takes 0.5 requests a second
    And it reports that the engine "plain-1" takes 1.5 requests a second
    Then within 1 s the gateway knows that "plain-1" takes 1.5, by "entry-2", and no limit of "plain-0"
    When it reports that the engine "plain-1" takes inf requests a second
    Then within 1 s the gateway knows that "plain-1" takes inf, by "entry-2", and no limit of "plain-0"
