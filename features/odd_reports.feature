Feature: A leader and its followers go on after an entry that no border should have let in

  Background:
    Given a leader that has polled 4 workers

  # Guards against a worker that another writer's report replaces: its tasks
  # are lost, and it gets no new ones.
  Scenario: A start far in the future doesn't replace a worker that goes on
    Given runs take 100 s
    When a job with 12 lasting tasks is submitted
    And it runs for 2 s and another writer reports worker-3 with a start 10 years ahead
    Then that report is refused, naming born
    And nothing of it starts again within 25 s

  # Guards against tasks that run twice, or lapse, as another writer's report
  # displaces their worker.
  Scenario Outline: A report of a service that isn't in the plan displaces no worker
    Given runs take 100 s
    When a job with 12 lasting tasks is submitted
    And it runs for 2 s and another writer reports <who> at the address of worker-3 as of service-x
    Then that report is refused, naming service
    And nothing of it starts again within 25 s

    Examples:
      | who                         |
      | worker-9 with a new start   |
      | worker-3 with a new start   |
      | worker-3 with its own start   |

  # Guards against tasks that run twice as their worker's address is reported
  # by a worker that isn't there.
  Scenario: A worker keeps its address until another one has answered there
    Given runs take 100 s
    When a job with 12 lasting tasks is submitted
    And it runs for 2 s and another writer reports worker-9 with a new start at the address of worker-3 as of service-a
    Then that report is accepted
    And nothing of it starts again within 25 s

  # Guards against tasks that wait for a lease although their worker is gone.
  Scenario: A worker is over once another one has answered at its address
    Given runs take 100 s
    When a job with 12 lasting tasks is submitted
    And it runs for 2 s, and worker-3 crashes and worker-9 takes its address
    Then the tasks of worker-3 run again within 2 s

  # Guards against a worker that is never taken back where the time of day is wrong.
  Scenario: A worker that restarts with a start far ahead is used once its former one is silent
    When worker-3 crashes and restarts with a start 10 years ahead
    Then its reports are accepted within 6 s
    And it is read within 3 s more

  # Guards against reports that are hidden by one with a number far too large.
  Scenario: Reports after one with a number far too large are followed
    When another writer reports worker-3 with the number 9007199254740991
    And worker-3 shrinks to 2000 millicores and drains
    Then the leader knows both within 4 s

  Scenario: A late report of a lower number changes nothing
    When a late report of worker-3 says that it has 1000 millicores
    Then the leader uses the room that it had

  Scenario: A late report that says that a worker drains counts
    When a late report of worker-3 says that it drains
    Then worker-3 drains by the leader's view within 1 s

  # Guards against ends that are never noted after one with a number far too large.
  Scenario: Ends after one with a number far too large are noted
    Given every worker also lists an end numbered 9007199254740991 of a task that nobody knows
    When 6 jobs with 4 tasks each are submitted, one every 0.3 s
    Then every job succeeds within 12 s
    And no task was started more than once

  # Guards against a task that the job doesn't have, and against an error at it by which committed records are lost.
  Scenario: The end of a task that its step lacks starts nothing
    When a job with 2 lasting tasks is submitted
    And it runs for 2 s, and worker-1 lists the failed end of its task number 99
    Then no task number 99 starts within 6 s
    And every replica has the same state

  # Guards against a leader that fails at every step for one stored record.
  Scenario Outline: Records with odd values that a former version stored are loaded
    Given <record> is stored
    When every replica has stored a snapshot and all restart
    Then one leads within 6 s
    And 4 jobs of 4 tasks succeed within 40 s
    And every replica has the same state

    Examples:
      | record                                               |
      | a worker with a start of 2^64 - 1                    |
      | a worker with the port 99999                         |
      | a worker with a room of 2^64 - 1                     |
      | a job with an estimate of 1e305 s and a room of 2^64 - 1 |
      | a job with 3 occurrences 2^64 - 1 ms apart           |
      | a plan with a stretch of 1e308 and a priority of 2^64 - 1 |

  Scenario: A plan in force that would be refused now is read in full
    When the source of a plan in force has a priority of 2^62 and a stretch of 1e300
    Then a new configuration like it is refused, naming priority
    And the plan in force is read from it
