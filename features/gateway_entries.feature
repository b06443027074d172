Feature: Odd entries of another writer among those of the engines
  Another writer leaves one entry that cannot be read, or names an engine that no one can reach, among
  those of the engines. The others count, and the gateways go on to follow the list.

  # Guards against one entry that ends a task, or that hides the entries beside and after it.
  @promise.config
  Scenario Outline: An entry with <what> is passed over, and the others count
    Given a gateway with a stand-in store and stand-in engines
    When an engine's entry with <what> is written, and another engine is added after it
    Then within 2 s the engine "plain-9" gets requests
    And all reads are answered by engines that exist
    When the gateway is started again
    Then within 2 s the engine "plain-9" gets requests
    And no task of the gateway has failed

    Examples:
      | what                          |
      | 5000 nested lists             |
      | 300 nested objects            |
      | a number of 5000 digits       |
      | the number 1e999              |
      | a value that is no number     |
      | half of a character           |
      | bytes that are no text        |
      | port 99999                    |
      | port -5                       |
      | a host with a zero byte       |
      | a host that is a name         |
      | an address of another network |
      | 10^30 slots                   |
      | a count below zero            |
      | a start in the far future     |
      | no batch-slots                |
      | no warmup-left-ms             |
      | no sequence                   |
      | no zone                       |
      | a name outside Latin-1        |
      | a name with a line break      |
      | a name that ends in a space   |

  # Guards against an entry that replaced an engine's own, and keeps that engine in use.
  @promise.leaving
  Scenario: An engine whose entry cannot be read any more gets no requests until it writes again
    Given a gateway with a stand-in store and stand-in engines
    When the entry of the engine "plain-0" becomes 5000 nested lists
    Then within 2 s the engine "plain-0" gets no more requests
    When the engine "plain-0" writes its entry again
    Then within 2 s the engine "plain-0" gets requests
