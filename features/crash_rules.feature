Feature: A task that crashes its workers is found, runs alone, and is given up

  Background:
    Given a leader that has polled 8 workers, which run tasks for 1 s

  # Guards against a task that crashes worker after worker, as lost runs aren't counted.
  Scenario: A task that crashes each worker that starts it is given up after three
    Given task 0.0.0 of job0 crashes its worker 0.01 s after its start
    When a job of 6 tasks is submitted
    Then the job has failed within 20 s, with at most 3 crashed workers
    And nothing of the job starts after that

  # Guards against a task that is found only where it starts before the others of its step.
  Scenario: The last task of a step that crashes each worker that starts it is given up
    Given task 0.0.5 of job0 crashes its worker 0.01 s after its start
    When a job of 6 tasks is submitted
    Then the job has failed within 25 s, with at most 4 crashed workers

  # Guards against a task that is given up for the crashes of another one beside it.
  Scenario: Jobs beside a task that crashes its workers are not given up
    Given task 0.0.0 of job1 crashes its worker 0.01 s after its start
    When 6 jobs with 4 tasks each are submitted at once
    Then only job1 has failed within 25 s, and the others have succeeded

  # Guards against a job whose tasks all crash: each would take three workers.
  Scenario: A job of which every task crashes its worker takes few workers
    Given each of the 6 tasks of job0 crashes its worker 0.01 s after its start
    When a job of 6 tasks is submitted
    Then the job has failed within 20 s, with at most 5 crashed workers

  # Guards against a task that takes a while to crash its worker, beside others that started later.
  Scenario: A task that crashes its worker late is given up
    Given lasting tasks run on
    And task 0.0.0 of job0 crashes its worker 7 s after its start
    When a job with 2 lasting tasks is submitted
    And 20 jobs with 4 tasks each are submitted, one every 1.5 s
    Then job0 has failed within 70 s, within the budget of starts

  # Guards against an unanswered start order that has crashed the worker, and is not counted.
  Scenario: A start that was never answered counts as a crash
    Given task 0.0.0 of job0 crashes its worker 0 s after its start
    When a job with 1 task is submitted
    Then the job has failed within 20 s, with at most 3 crashed workers

  # Guards against a count that is lost with the leader that has made it.
  Scenario: The count of crashes outlives leaders and snapshots
    Given task 0.0.0 of job0 crashes its worker 0.01 s after its start
    When a job of 3 tasks is submitted
    And the leader is lost after each crash, and its log is compacted
    Then the job has failed within 40 s, with at most 3 crashed workers

  # Guards against ends of workers that no task can have caused, counted as crashes.
  Scenario: A task whose workers leave, or are cut off, is not given up
    Given runs take 100 s
    When a job with 1 lasting tasks is submitted
    And its worker leaves 2 times, and is cut off 2 times for 15 s
    Then the job is still active, and its task runs within 8 s
    And its task was never counted as crashing a worker

  # Guards against suspected tasks that take the whole pool from all others.
  Scenario: Many suspected tasks leave workers for the others
    Given the first task of each of job0 to job4 crashes its worker 0.01 s after its start
    When 5 jobs with 5 tasks each are submitted at once
    And 1 s later 8 jobs with 2 tasks each are submitted, one every 0.5 s
    Then job0 to job4 have failed within 40 s, and the others have succeeded
    And each of the others was given a worker within 3.2 s

  # Guards against an innocent task that is given up as its worker crashes by itself, even twice while it runs there alone.
  Scenario: A task whose workers crash twice by themselves is not given up
    Given lasting tasks run on
    When a job with 1 lasting tasks is submitted
    And its worker crashes by itself 2 times, 1 s after each start
    Then the job is still active, and its task runs within 8 s

  # Guards against counts that depend on which member of a gang runs on the crashed worker.
  Scenario: The tasks of a gang, or of a step, are one suspect
    Given the records of a gang with 4 members, 2 on each of 2 workers
    When the worker of members 0 and 1 crashes 3 times
    Then the gang's job has failed

  # Guards against one loss of several workers that counts as several crashes of a task that ran on each.
  Scenario: Workers that crash at once don't make a wide step fail
    Given the records of a step with 4 tasks, 1 on each of 4 workers
    When all 4 workers crash once
    Then the job of the records is still active

  # Guards against a record without the new fields that can't be applied.
  Scenario: The end of a worker as the former version records it counts no crash
    Given the records of a step with 4 tasks, 1 on each of 4 workers
    When all 4 workers end 5 times as the former version records it
    Then the job of the records is still active, and counts no crash

  # Guards against counts that are kept for good, so that rare crashes of workers add up over weeks.
  Scenario: Crashes that are far apart don't add up
    Given the records of a step with 4 tasks, 1 on each of 4 workers
    When the worker of task 0 crashes 5 times, 20 minutes apart
    Then the job of the records is still active

  # Guards against lasting tasks that run alone after each of their failures, long after a crash beside them.
  Scenario: A run that ends by itself clears its task
    Given the records of a step with 4 tasks, 1 on each of 4 workers
    When the worker of task 0 crashes 2 times
    And the run of task 0 fails by itself
    Then the job of the records is still active, and counts no crash

  # Guards against an innocent job that is given up as its workers crash before its starts arrive.
  Scenario: Starts that no worker confirmed count less
    Given the records of a step with 4 tasks, 1 on each of 4 workers
    When the worker of task 0 crashes 4 times without an answer to its start
    Then the job of the records is still active
    When the worker of task 0 crashes 1 times without an answer to its start
    Then the job of the records has failed

  # Guards against a count that a snapshot of the state drops.
  Scenario: A snapshot keeps the count of crashes
    Given the records of a step with 4 tasks, 1 on each of 4 workers
    When the worker of task 0 crashes 2 times, and the state is stored and read
    And the worker of task 0 crashes 1 times
    Then the job of the records has failed
