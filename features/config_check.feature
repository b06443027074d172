Feature: A configuration is checked before it is sent
  The form of the users' platform; that of our own document is in operators.feature.

  Scenario: A sound configuration
    Given a configuration of the platform in a file
    When it is checked
    Then it is sound, with exit code 0

  Scenario Outline: A configuration in which <what>
    Given a configuration of the platform in a file in which <what>
    When it is checked
    Then an <level> on "<place>" says "<words>", with exit code <code>

    Examples:
      | what                                     | level   | place               | words               | code |
      | two routes have the same prefix          | error   | route again         | never matches       | 2    |
      | a prefix has no slash at its end         | error   | route read          | slash at both ends  | 2    |
      | a route names an unknown service         | error   | route read          | not in the list     | 2    |
      | a route has only weights of 0            | error   | route read          | goes to no service  | 2    |
      | a route times out before its target      | error   | route read          | latency target      | 2    |
      | a route names a model that is missing    | error   | route chat          | models that service | 2    |
      | an order may be attempted twice          | warning | route order         | may run once        | 0    |
      | no route names a service                 | warning | service idle        | no route names it   | 0    |
      | two organisations share a key            | error   | organisation two    | shares a key        | 2    |
      | an organisation has no key               | warning | organisation none   | has no key          | 0    |
      | a limit is 0                             | error   | limit header_bytes  | above 0             | 2    |
      | a number is a word                       | error   | routes[0].timeout-ms | Expected            | 2    |
      | a route has no name                      | error   | routes[0]           | missing required    | 2    |

  Scenario: Warnings count as errors where that is asked for
    Given a configuration of the platform in a file in which no route names a service
    When it is checked strictly
    Then an warning on "service idle" says "no route names it", with exit code 2

  Scenario: What differs from the version in force
    Given a configuration of the platform in a file in which a key is added and a route times out later
    When it is checked against the one in force
    Then the differences are the route's time-out, the limits not, and one key more, which is not shown
    And a configuration whose version is not above that in force is an error
