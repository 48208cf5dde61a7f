Feature: A call that may not be repeated runs at most once

  Background:
    Given the deployment "ovo-justo" serves version "2026-11"
    And orders take 0.3 seconds

  @known_red
  Scenario: An agent is killed while it runs orders without keys
    When 12 orders are sent
    And every order runs
    And the agent "razao-vendas-serra-z1-0" is killed
    Then every call gets its own whole answer or an explicit outcome
    And no order ran twice
    And every answered order ran once

  Scenario: A zone is cut off while its services reset connections
    When every order service resets 1 requests before and 2 after they run
    And 12 orders are sent
    And zone "oeste-sc-z1" is cut off from the other zones
    Then every call gets its own whole answer or an explicit outcome
    And no order ran twice
    And a refused call did not run

  Scenario: The store loses answers under orders with keys
    When the object API loses its next 4 answers to writes
    And 12 orders with idempotency keys are sent
    Then every call gets its own whole answer or an explicit outcome
    And no order ran twice
    And a refused call did not run

  Scenario: A router dies and its callers repeat their orders through another
    When 12 orders with idempotency keys are sent
    And every order runs
    And the router "entry-serra-z1-0" is killed
    And every caller repeats its order through another router
    Then every call gets its own whole answer or an explicit outcome
    And no order ran twice
    And no order got two different answers

  Scenario: A router and an agent die while the store loses answers
    When 12 orders with idempotency keys are sent
    And every order runs
    And the object API loses its next 3 answers to writes
    And the agent "razao-vendas-taquari-z1-0" is killed
    And the router "entry-serra-z1-0" is killed
    And every caller repeats its order through another router
    Then every call gets its own whole answer or an explicit outcome
    And no order ran twice

  Scenario: The store is out under orders with keys
    When the object API is unavailable
    And 6 orders with idempotency keys are sent
    Then every order was refused as not run
    And a refused call did not run
