Feature: Workers are kept, chosen and asked about for a task only if the task can run there

  # Guards against a job that never starts again: the workers looked at for it were others, and the one that it needs was kept for it in vain.
  Scenario Outline: A task whose worker crashed once starts again on the only worker that can run it
    Given a leader that has polled 8 workers, which run tasks for 1 s
    And only worker-6 <fits>
    When worker-6 crashes 0.5 s after it has started a job that only it can run
    Then the job succeeds within 6 s after worker-6 is back
    When another job that only worker-6 can run is submitted
    Then it is done within 3 s

    Examples:
      | fits                     |
      | has the label fast       |
      | has room for large tasks |

  # Guards against a worker that is kept for a task that never gets room there, while the one that could run it goes on with other tasks.
  Scenario: The worker that is kept for a suspected task is one that can have room for it
    Given a leader that has polled 8 workers, which run tasks for 1 s
    And only worker-5, worker-6 and worker-7 have the label fast
    And a lasting task fills worker-5
    When worker-6 crashes under a task with that label, and is back without the label, while worker-7 has other tasks
    And a task with that label is submitted each 0.3 s for 12 s
    Then the suspected task has started on worker-7 within that time

  # Guards against workers that a customer at its limit keeps from all others.
  Scenario: No worker is kept for a suspected task that its customer's limit holds back
    Given a leader that has polled 8 workers, which run tasks for 1 s
    And only worker-6 has the label fast
    And every start is checked against the limits of customers
    And customer a has no limit
    When worker-6 crashes 0.5 s after it has started a task of a, whose limit becomes 500 millicores
    And another job that only worker-6 can run is submitted
    Then it is done within 6 s

  # Guards against a step that isn't asked about any more, as the workers that are permitted have room, but can't run it.
  Scenario Outline: The adviser is asked on while the permitted workers can't run the step
    Given a leader that has polled 4 workers
    And a queue whose adviser is asked for permits of 30 s
    And worker-3 drains at first
    When a job <that> is submitted to the queue with advice
    And the adviser permits every worker that it is asked about
    And worker-3 drains no longer
    Then the adviser is asked about worker-3, and the job's last task starts there

    Examples:
      | that                                        |
      | that requires a label of worker-3           |
      | of 4 tasks, one at most on a worker         |

  # Guards against a worker that is never asked about, behind many that can't run the step.
  Scenario: The adviser isn't asked about workers that can't run the step
    Given a leader that has polled 4 workers
    And a queue whose adviser is asked for permits of 3 s
    When a job that requires a label of worker-3 is submitted to the queue with advice
    Then the adviser is asked about worker-3 only
