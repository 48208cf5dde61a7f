Feature: A request refused as not run truly did not run

  Background:
    Given the deployment "ovo-justo" serves version "2026-11"

  Scenario: Order services reset connections before and after they run a request
    When every order service resets 3 requests before and 3 after they run
    And 24 orders are sent
    Then every call gets its own whole answer or an explicit outcome
    And a refused call did not run

  Scenario: Every agent of the order service leaves while the object API is out
    Given orders take 0.2 seconds
    And 6 orders are sent
    When every order runs
    And the object API is unavailable
    And every order agent leaves
    And 12 orders are sent
    Then every call gets its own whole answer or an explicit outcome
    And some calls were refused as not run
    And a refused call did not run

  Scenario: A zone is cut off and its order agent is killed under orders
    Given orders take 0.2 seconds
    And 12 orders are sent
    When zone "taquari-z1" is cut off from the other zones
    And the agent "razao-vendas-taquari-z1-0" is killed
    And 12 orders are sent
    Then every call gets its own whole answer or an explicit outcome
    And a refused call did not run
    And no order ran twice
