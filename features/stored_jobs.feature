Feature: The memory of stored jobs is bounded

  # Guards against accepted jobs that fill the memory of all control replicas.
  Scenario: A job is refused that there is no memory for, and a smaller one isn't
    Given a store of 20000000 bytes that holds 1 job of 1000 steps
    Then the store has no room for a job of 1000 steps at 1 s
    And the store has room for a job of 2 steps at 1 s

  # Guards against a job that could never be accepted.
  Scenario: A job that is alone has room whatever its size
    Given a store of 1000000 bytes that holds 0 jobs of 1000 steps
    Then the store has room for a job of 1000 steps at 1 s

  # Guards against jobs that count for ever.
  Scenario: Jobs that have ended or are forgotten make room
    Given a store of 20000000 bytes that holds 1 job of 1000 steps
    Then the store has no room for a job of 1000 steps at 1 s
    When that job succeeds
    Then the store has room for a job of 1000 steps at 4 s

  # Guards against jobs that arrive faster than they are counted.
  Scenario: Jobs count from their acceptance on
    Given a store of 20000000 bytes that holds 1 job of 2 steps
    Then the store has room for a job of 1000 steps at 1 s
    When a job of 1000 steps is about to be stored
    Then the store has no room for a job of 1000 steps at 1.1 s

  # Guards against ordinary work that is taken for too much.
  Scenario: A busy fleet's jobs fit in a small replica's memory
    Given a store of 93000000 bytes that holds 3000 jobs of 2 steps
    Then the store has room for a job of 2 steps at 1 s
