Feature: No caller gets an answer from partial or mixed weights

  Background:
    Given the deployment "ovo-justo" serves version "2026-11"
    And callers keep streaming 40 tokens

  @known_red
  Scenario: The origin damages and stalls answers while a version rolls out
    When the origin corrupts its next 4 answers and stalls 1
    And version "2026-12" is published
    Then version "2026-12" serves on every live replica
    And every call gets its own whole answer
    And 12 more calls get the whole answer of version "2026-12"

  Scenario: The content changes under its name at the origin and an agent is killed
    When the origin serves other content for version "2026-12"
    And version "2026-12" is published
    And the agent "llm-cotacoes-serra-z1-0" is killed
    Then the origin has received 6 requests for the changed content
    And every call gets the whole answer of one version or an explicit outcome
    And 12 more calls get the whole answer of version "2026-11"
    And no engine loaded version "2026-12"

  Scenario: An engine dies and an agent is killed while a version rolls out
    When version "2026-12" is published
    And the engine "llm-cotacoes-serra-z1-0" crashes
    And the agent "llm-cotacoes-taquari-z1-1" is killed
    And 12 callers stream 8 tokens
    And the engine "llm-cotacoes-serra-z1-0" starts again
    And the agent "llm-cotacoes-taquari-z1-1" starts again
    Then version "2026-12" serves on every live replica
    And every call gets the whole answer of one version or an explicit outcome
    And 12 more calls get the whole answer of version "2026-12"
