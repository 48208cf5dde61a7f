Feature: Every caller gets the whole answer to its own request

  Background:
    Given the deployment "ovo-justo" serves version "2026-11"

  Scenario: An engine dies in the middle of answers
    When 18 callers stream 300 tokens
    And the engine "busiest" crashes after 3 tokens
    Then every call gets its own whole answer or an explicit outcome
    And 12 more calls get a whole answer

  Scenario: Engines end their answers halfway
    When every engine truncates its next answer
    And 18 callers stream 20 tokens
    Then every call gets its own whole answer or an explicit outcome

  Scenario: An agent is killed and its zone is cut off in the middle of answers
    When 18 callers stream 300 tokens
    And the agent "busiest" is killed
    And zone "serra-z1" is cut off from the other zones
    Then every call gets its own whole answer or an explicit outcome
    And 12 more calls get a whole answer

  Scenario: Order services repeat answers and reset connections under concurrent orders
    When every order service sends its next 4 answers twice
    And every order service resets 1 requests before and 1 after they run
    And 18 orders are sent
    Then every call gets its own whole answer or an explicit outcome
    And a refused call did not run
    And no order ran twice
