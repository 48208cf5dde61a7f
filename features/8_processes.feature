Feature: The promises hold for separate processes under signals

  Scenario: A router is told to stop in the middle of streams
    Given processes of 2 routers and 2 agents serve version "2026-11"
    When 4 callers stream 100 tokens through "router-0"
    And "router-0" receives SIGTERM
    Then every stream is whole
    And "router-0" exits with code 0
    And a new call through "router-1" gets a whole answer

  @known_red
  Scenario: An agent is told to stop in the middle of streams and the router twice
    Given processes of 1 routers and 2 agents serve version "2026-11"
    When 6 callers stream 100 tokens through "router-0"
    And "agent-0" receives SIGTERM
    Then every stream is whole
    And "agent-0" exits with code 0
    When 1 callers stream 4000 tokens through "router-0"
    And "router-0" receives SIGTERM
    And "router-0" refuses new calls
    And "router-0" receives SIGTERM
    Then "router-0" exits with code 0
    And every stream is whole or has an explicit outcome

  @known_red
  Scenario: An agent is paused beyond its lease while a version is published and a router dies
    Given processes of 2 routers and 2 agents serve version "2026-11"
    When 4 callers stream 100 tokens through "router-0"
    And version "2026-12" is published with the command line
    And "agent-0" is paused for 4 seconds
    And "router-0" receives SIGKILL
    Then every stream is whole or has an explicit outcome
    And every engine loads version "2026-12"
    And a new call through "router-1" gets a whole answer
