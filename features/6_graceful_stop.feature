Feature: A planned stop cuts off no request in progress

  Background:
    Given the deployment "ovo-justo" serves version "2026-11"

  Scenario: An agent leaves in the middle of its answers while the object API is out
    When the object API is unavailable
    And 18 callers stream 300 tokens
    And the agent "busiest" leaves
    And the drain of "busiest" has ended
    Then every call gets its own whole answer

  Scenario: A router leaves in the middle of its answers
    When 18 callers stream 300 tokens
    And the router "entry-serra-z1-0" leaves
    And the drain of "entry-serra-z1-0" has ended
    Then every call gets its own whole answer

  Scenario: A router and an agent leave at once while a zone is cut off from the platform
    When zone "serra-z1" is cut off from the platform
    And 18 callers stream 300 tokens
    And the router "entry-serra-z1-0" leaves
    And the agent "busiest" leaves
    And the drain of "entry-serra-z1-0" has ended
    And the drain of "busiest" has ended
    Then every call gets its own whole answer

  Scenario: An order service's agent leaves in the middle of orders and the store hangs
    Given orders take 0.5 seconds
    When the object API hangs
    And 12 orders are sent
    And every order runs
    And every order agent leaves
    Then every call gets its own whole answer
