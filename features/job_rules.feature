Feature: The leader schedules tasks in order, once, on permitted workers, until they are done

  Background:
    Given a leader that has polled 4 workers

  Scenario: A step starts after the steps that it names are done
    When a job with 3 tasks and then 2 tasks is submitted
    Then it succeeds within 6 s, and no task of the second step started before the first step was done

  Scenario: A lasting task is restarted whichever way it ends
    Given runs take 2 s
    When a job with 3 lasting tasks is submitted
    Then every task of it has been started 3 times within 12 s
    And the job is still active

  Scenario: A gang starts as a whole and with one run number, or not at all
    When a gang of 6 tasks of 4000 millicores is submitted
    Then all 6 tasks start with the same run number within 2 s
    When a gang of 10 tasks of 4000 millicores is submitted
    Then no task of it starts within 3 s

  Scenario: A worker gets no more tasks of a step than the step's limit
    When a job with 8 lasting tasks, 2 at most on a worker, is submitted
    Then each of the 4 workers runs 2 of its tasks within 3 s

  Scenario: Tasks run only on workers with the required label
    Given worker-2 has restarted with the label fast
    When a job with 4 tasks that require the label fast is submitted
    Then its tasks start on worker-2 only

  Scenario: A cancelled job stops, and none of its tasks start again
    When a job with 6 lasting tasks is submitted
    And it runs for 2 s and is cancelled
    Then nothing of it runs after 2 s

  Scenario: A task that fails at every attempt fails its job
    Given every worker fails what it starts
    When a job with 1 task is submitted
    Then the job has failed within 10 s after 3 starts

  Scenario: A worker on which every run fails gets single runs only, as probes
    Given worker-1 fails what it starts
    When 12 jobs with 4 tasks each are submitted, one every 0.3 s
    Then worker-1 was given at most 6 of the runs
    And every job succeeds within 20 s

  Scenario: A stalled run is stopped, and its task is done on another worker
    Given runs take 0.5 s
    And tasks on worker-0 stall
    When 4 jobs with 4 tasks each are submitted, one every 0.3 s
    Then every job succeeds within 12 s

  Scenario: Tasks that take longer than estimated on every worker are not stopped
    Given runs take 3 s
    When a job with 6 tasks of an estimate of 0.5 s is submitted
    Then it succeeds within 6 s after 6 starts

  Scenario: Tasks of a disconnected worker start elsewhere only after its lease has expired
    Given runs take 9 s
    When a job with 12 lasting tasks is submitted
    And it runs for 2 s and worker-3 is disconnected
    Then its tasks run on other workers within 8 s, and no sooner than 2 s

  Scenario: Tasks of a restarted worker start again at once
    Given runs take 100 s
    When a job with 12 lasting tasks is submitted
    And it runs for 2 s and worker-3 crashes and restarts
    Then all 12 tasks run within 4 s

  Scenario: A new leader finds the running tasks, and starts none of them again
    Given runs take 100 s
    When a job with 12 lasting tasks is submitted
    And it runs for 2 s and the leader is lost
    Then another leads within 3 s, and no task was started again after 4 s more

  Scenario: A draining worker gets no new run
    When the worker worker-1 reports that it drains
    And 6 jobs with 4 tasks each are submitted, one every 0.3 s
    Then worker-1 was given at most 0 of the runs

  Scenario: Lasting tasks are moved from a draining worker to others
    Given runs take 100 s
    When a job with 12 lasting tasks is submitted
    And it runs for 2 s and worker-3 reports that it drains
    Then all 12 tasks run elsewhere than on worker-3 within 6 s

  Scenario: Tasks of a worker that has left start elsewhere before its lease expires
    Given runs take 100 s
    When a job with 12 lasting tasks is submitted
    And it runs for 2 s and worker-3 drains, says that it leaves, and ends
    Then all 12 tasks run elsewhere than on worker-3 within 4 s

  Scenario: A delayed notice to leave of an earlier incarnation is ignored
    Given runs take 100 s
    When a job with 12 lasting tasks is submitted
    And it runs for 2 s and a late notice says that worker-3 leaves
    Then nothing of it starts again within 6 s

  Scenario: An occurrence doesn't start before its due time
    When a job with 2 occurrences of 1 task, 2 s apart from 3 s ahead, is submitted
    Then its first start is 3 s after it was submitted, and the next 2 s later

  Scenario: A stopped task resumes from its saved progress
    When a run that has saved progress p7 ends as stopped
    Then its next start carries p7

  Scenario: Lists that are read late don't make a run count as stalled
    Given a leader with two workers, and a run of 1 s at one of them
    When the leader is busy for 9 s, and its lists are of 0.9 s after the start
    Then it stops no run
    When its next lists show the run 9 s after the start
    Then it stops that run

  Scenario: A leader with outdated lists polls the worker before it stops a run as stalled
    Given a leader with two workers, and a run of 1 s at one of them
    When the leader is busy for 6 s without any lists
    Then it stops no run, and asks that worker for its lists at once

  # Guards against orders under a term that the leader has given up; workers refuse them as an earlier leader's.
  Scenario: A leader whose proposal is refused sends no more orders under its term
    Given runs take 100 s
    When a job with 12 lasting tasks is submitted
    And it runs for 2 s and the log refuses proposals for a moment
    Then nobody gives orders under that term any more
    And within 3 s a leader of a later term has polled every worker

  # Guards against a delayed notice of an earlier incarnation by which a running one is declared over.
  Scenario: A draining worker that answers after a notice to leave counts as running
    Given runs take 100 s
    When a job with 12 lasting tasks is submitted
    And it runs for 2 s and an earlier notice to leave comes once worker-3 drains
    Then worker-3 is not declared over within 3 s

  # Guards against two runs of a task: a worker whose notice to leave got no acknowledgement goes on, and a poll sent before the notice was still waiting there.
  Scenario: A draining worker whose poll waits while it leaves counts as running until a later poll fails
    Given runs take 100 s
    When a job with 12 tasks of 2000 millicores is submitted
    And it runs for 2 s and worker-3 says that it leaves, goes on, and a poll waits there
    Then worker-3 is not declared over within 3 s
    When worker-3 ends after a second notice
    Then worker-3 is declared over within 2.6 s

  # Guards against two runs of a task: a worker whose notice to leave got no acknowledgement was cut off, and counted as gone as its polls failed.
  Scenario: A draining worker that is cut off after its notice counts as running while it may hold a lease
    Given runs take 100 s
    When a job with 12 tasks of 2000 millicores is submitted
    And it runs for 2 s and worker-3 says that it leaves, goes on, and is cut off for 12 s
    Then worker-3 is not declared over within 3 s
    And no task runs twice at once, and all 12 tasks run within 15 s

  # Guards against two runs of a task: a start for a worker that had left was carried out by its next incarnation, and given up with the one that had left.
  Scenario: A worker that has left gets no start that its next incarnation would carry out
    Given runs take 100 s
    When a job with 12 tasks of 2000 millicores is submitted while worker-3 doesn't answer
    And worker-3 answers again, says that it leaves, and is back before its starts are repeated
    Then no task runs twice at once, and all 12 tasks run within 15 s

  # Guards against a task that runs twice: an unanswered start order takes effect after a second one was refused.
  Scenario: A refused start order doesn't void a run whose earlier order has no answer
    Given runs take 100 s
    And workers that refuse the second order for a run and carry out the first 3 s late
    When a job with 2 lasting tasks is submitted
    Then no task runs twice at once, and all 2 tasks run within 15 s

  # Guards against a job that fails with attempts left: a worker that was cut off listed a failure again, and it was counted again.
  Scenario: A failure that a worker lists again after it was cut off counts once
    Given every worker fails what it starts
    When a job with 1 tasks of 2000 millicores is submitted
    And its first run fails, and the worker of it is cut off 2 times for 8 s
    Then the job is still active after 1 failed run

  # Guards against the same after notices to leave without an acknowledgement: a worker without runs counted as gone by its notice alone.
  Scenario: A failure that a worker lists again after its notice to leave counts once
    Given every worker fails what it starts
    When a job with 1 tasks of 2000 millicores is submitted
    And its first run fails, and the worker of it says 2 times that it leaves, and goes on
    Then the job is still active after 1 failed run

  # Guards against state that grows with every worker that has ever been cut off.
  Scenario: The ends of a thousand lapsed workers are remembered, those of the latest
    When 1005 workers list an end each, and their leases expire
    Then the state remembers 1000 of them, the last one among them
