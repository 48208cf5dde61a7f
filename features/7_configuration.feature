Feature: An accepted configuration is in force everywhere and never reverts

  Background:
    Given the deployment "ovo-justo" serves version "2026-11"

  Scenario: Two operators publish at once
    When versions "2026-12" and "2027-01" are published at once
    Then every publication was accepted or failed with an error that names the latest generation
    And every process applies the last accepted publication
    And no process went back to an earlier generation

  Scenario: The answer of a publication is lost and a zone is cut off from the platform
    When zone "taquari-z1" is cut off from the platform
    And the object API loses its next 2 answers to writes
    And version "2026-12" is published
    Then the publication was accepted once
    And every process applies generation 2
    And no process went back to an earlier generation

  Scenario: A zone that was cut off from everything catches up
    When zone "taquari-z1" is cut off from the platform
    And zone "taquari-z1" is cut off from the other zones
    And version "2026-12" is published
    Then every process of zone "serra-z1" applies generation 2
    And every process of zone "taquari-z1" applies generation 1
    When zone "taquari-z1" is reconnected
    Then every process applies generation 2
    And no process went back to an earlier generation

  Scenario: The store goes out after a publication and an agent restarts
    When version "2026-12" is published
    Then every process of zone "serra-z1" applies generation 2
    When the object API is unavailable
    And the agent "llm-cotacoes-serra-z1-0" is killed
    And the agent "llm-cotacoes-serra-z1-0" starts again
    Then every process applies generation 2
    And no process went back to an earlier generation

  Scenario: The store goes out at the moment of a publication and comes back
    When version "2026-12" is published
    And the object API is unavailable
    And 1 seconds pass
    And the object API answers again
    Then every process applies generation 2
    And no process went back to an earlier generation

  Scenario: The store is restored to an earlier index under running processes
    When version "2026-12" is published
    Then every process applies generation 2
    When the object API is restored to the first index
    And 5 seconds pass
    Then every process applies generation 2
    And no process went back to an earlier generation

  Scenario: The store is restored to an earlier index while an agent restarts
    When version "2026-12" is published
    Then every process applies generation 2
    When the object API is restored to the first index
    And the agent "llm-cotacoes-serra-z1-0" is killed
    And the agent "llm-cotacoes-serra-z1-0" starts again
    And 5 seconds pass
    Then every process applies generation 2
    And no process went back to an earlier generation
