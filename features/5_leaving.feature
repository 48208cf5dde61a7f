Feature: A leaving instance gets no new work after a few seconds

  Background:
    Given the deployment "ovo-justo" serves version "2026-11"

  Scenario: An agent leaves while the instance list is late and still names it
    When the instance list lags by 300 seconds
    And callers keep streaming 40 tokens
    And the agent "llm-cotacoes-serra-z1-0" leaves
    And new calls no longer reach "llm-cotacoes-serra-z1-0"
    Then 24 further calls don't reach "llm-cotacoes-serra-z1-0"
    And every call gets its own whole answer

  Scenario: An agent leaves while the object API is out and its zone is cut off
    When the object API is unavailable
    And zone "serra-z1" is cut off from the other zones
    And the agent "llm-cotacoes-serra-z1-0" leaves
    And new calls no longer reach "llm-cotacoes-serra-z1-0"
    Then 24 further calls don't reach "llm-cotacoes-serra-z1-0"

  Scenario: Two agents of a zone leave while a version rolls out
    Given every router knows the replicas of other zones
    When callers keep streaming 40 tokens
    And version "2026-12" is published
    And the agent "llm-cotacoes-serra-z1-0" leaves
    And the agent "llm-cotacoes-serra-z1-1" leaves
    And new calls no longer reach "llm-cotacoes-serra-z1-0"
    And new calls no longer reach "llm-cotacoes-serra-z1-1"
    Then 12 further calls don't reach "llm-cotacoes-serra-z1-0"
    And 12 further calls don't reach "llm-cotacoes-serra-z1-1"
    And every call gets its own whole answer or an explicit outcome
