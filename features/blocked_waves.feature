Feature: A wave takes down what jobs can miss, and leaves other machines at work

  Background:
    Given a leader that has polled 4 workers
    And every worker has a machine
    And runs take 0.3 s

  # Guards against a wave that never begins, and keeps machines idle for good: a lasting task was stopped only if another machine had a place for it, also where its job may miss one.
  Scenario Outline: A wave is done although lasting tasks have no place elsewhere
    Given a lasting task on each worker that fits nowhere else, of which <missed> may be out
    When a wave over all 4 machines, <at_once> at once within 40 s, is accepted
    And a job of 1 task that needs over half of a worker is submitted each second, for 30 s
    Then the wave is done within 10 s
    And each machine had one upkeep, with at most <at_once> down at once
    And no more than <missed> of the lasting tasks were out at the same time
    And each of these jobs began within 3 s

    Examples:
      | missed | at_once |
      | 1      | 1       |
      | 1      | 2       |
      | 1      | 3       |
      | 2      | 2       |

  # Guards against machines that are idle for good, as a wave waits for tasks that must not be stopped, and nobody is told.
  Scenario: A wave that can't be done leaves its machines at work, and names what blocks it
    Given a lasting task on each worker that fits nowhere else, of which 0 may be out
    When a wave over all 4 machines, 3 at once within 8 s, is accepted
    And a job of 1 task that needs over half of a worker is submitted each second, for 15 s
    Then no machine had an upkeep
    And each of these jobs began within 1 s
    And the lasting task of each machine is named as what blocks the wave
    And 1 to 4 lines say that the wave is blocked

  # Guards against a wave that stays blocked after its cause is gone.
  Scenario: A blocked wave goes on once the tasks in its way are cancelled
    Given a lasting task on each worker that fits nowhere else, of which 0 may be out
    When a wave over all 4 machines, 2 at once within 40 s, is accepted
    And after 5 s the job of the lasting tasks is cancelled
    Then the wave is done within 20 s
    And each machine had one upkeep, with at most 2 down at once

  # Guards against a machine that a wave keeps idle: a task on it must not be stopped while another one is out that has no place to start.
  Scenario: A machine that becomes blocked while it is emptied goes back to work
    Given a lasting task on each worker that fits nowhere else, of which 1 may be out
    When a wave over machines worker-1 and worker-2, 2 at once within 40 s, is accepted
    And before one of them is empty, worker-3 is cut off for 12 s
    And a job of 1 task that needs over half of a worker is submitted each second, for 10 s
    Then each of these jobs began within 3 s
    And the wave is done within 40 s

  # Guards against tasks that are stopped again and again for a machine that can't be emptied, as two of one step are there and only one may be out.
  Scenario: Tasks aren't stopped for a machine that can't be emptied
    Given two lasting tasks on each worker that fit nowhere else, of which 1 may be out
    When a wave over all 4 machines, 2 at once within 8 s, is accepted
    And a job of 1 task that needs over half of a worker is submitted each second, for 20 s
    Then no machine had an upkeep
    And no more than 0 of the lasting tasks were out at the same time
    And each of these jobs began within 1 s
