Feature: What a customer has running over the whole fleet stays within its limit

  Background:
    Given a leader that has polled 4 workers
    And runs take 100 s
    And every start is checked against the limits of customers

  # Guards against starts beyond a limit that no single worker or pool can see.
  Scenario: Jobs of one customer on all workers start only as many tasks as its limit allows
    Given customer alfa may run 5000 millicores
    When alfa submits 4 jobs with 4 tasks of 1000 millicores each
    Then alfa runs 5 tasks within 2 s
    And no more of alfa's start within 3 s

  # Guards against a limit that is only counted in cores.
  Scenario: A customer with a limit in memory only
    Given customer alfa may run 300 megabytes
    When alfa submits a job with 6 tasks of 100 megabytes
    Then alfa runs 3 tasks within 2 s
    And no more of alfa's start within 3 s

  # Guards against one customer's limit holding back another's tasks.
  Scenario: A customer without a limit starts beside one at its limit
    Given customer alfa may run 2000 millicores
    And customer beta has no limit
    When alfa submits a job with 6 tasks of 1000 millicores
    And beta submits a job with 6 tasks of 1000 millicores
    Then alfa runs 2 tasks within 2 s
    And beta runs 6 tasks within 2 s

  # Guards against a lowered limit that stops work, or that lets more begin.
  Scenario: A limit that is lowered to half of what runs stops nothing and lets nothing more start
    Given customer alfa may run 8000 millicores
    When alfa submits a job with 8 tasks of 1000 millicores
    Then alfa runs 8 tasks within 2 s
    When the limit of alfa becomes 4000 millicores
    And alfa submits a job with 2 tasks of 1000 millicores
    Then alfa runs 8 tasks within 3 s
    And no more of alfa's start within 3 s
    When the first job of alfa is cancelled
    Then alfa runs 2 tasks within 4 s

  # Guards against tasks that are stopped to run elsewhere, where they may not start.
  Scenario: A lowered limit keeps tasks where they are, also on a worker that drains
    Given customer alfa may run 8000 millicores
    When alfa submits 2 jobs with 4 lasting tasks of 1000 millicores each
    Then alfa runs 8 tasks within 2 s
    When the limit of alfa becomes 4000 millicores
    And a worker with tasks of alfa reports that it drains
    Then alfa's runs all go on for 5 s
    When the limit of alfa becomes 8000 millicores
    Then nothing of alfa runs on that worker within 4 s
    And alfa runs 8 tasks within 4 s

  # Guards against upkeep that takes away a task which may not start elsewhere.
  Scenario: A lowered limit keeps tasks where they are, also on a machine that is due for upkeep
    Given every worker has a machine
    And customer alfa may run 8000 millicores
    When alfa submits 2 jobs with 4 lasting tasks of 1000 millicores each
    Then alfa runs 8 tasks within 2 s
    When the limit of alfa becomes 4000 millicores
    And a wave over all 4 machines, 4 at once within 40 s, is accepted
    Then alfa's runs all go on for 5 s

  # Guards against starts that were decided before a limit was lowered.
  Scenario: Starts that are proposed while a limit is lowered are not ordered
    Given customer alfa may run 8000 millicores
    When alfa submits a job with 8 tasks, and its limit becomes 4000 before their runs are committed
    Then no order goes out for more than 4 of them within 3 s

  # Guards against a limit that is read only once.
  Scenario: A limit that is raised lets more start at once
    Given customer alfa may run 2000 millicores
    When alfa submits a job with 8 tasks of 1000 millicores
    Then alfa runs 2 tasks within 2 s
    When the limit of alfa becomes 6000 millicores
    Then alfa runs 6 tasks within 0.5 s

  # Guards against a part of a gang that waits for the rest beyond the limit.
  Scenario: A gang at the edge of the limit starts whole, or not at all
    Given customer alfa may run 6000 millicores
    When alfa submits a job with 1 task of 1000 millicores
    Then alfa runs 1 task within 2 s
    When alfa submits a gang of 6 tasks of 1000 millicores
    Then no more of alfa's start within 3 s
    When the first job of alfa is cancelled
    Then alfa runs 6 tasks within 4 s

  # Guards against filling tasks that pass every limit in cores.
  Scenario: Filling tasks count with their cores
    Given customer alfa may run 3000 millicores
    When alfa submits a job with 5 filling tasks of 1000 millicores
    Then alfa runs 3 tasks within 2 s
    And no more of alfa's start within 3 s

  # Guards against a new leader that counts from nothing.
  Scenario: The leader changes while three customers are at their limits
    Given customer alfa may run 3000 millicores
    And customer beta may run 400 megabytes
    And customer gamma may run 5000 millicores
    When alfa submits 2 jobs with 4 tasks of 1000 millicores each
    And beta submits 2 jobs with 4 tasks of 1000 millicores each
    And gamma submits 2 jobs with 4 tasks of 1000 millicores each
    Then alfa runs 3 tasks within 2 s
    And beta runs 4 tasks within 2 s
    And gamma runs 5 tasks within 2 s
    When the leader is lost
    Then no more of anybody's start within 8 s
    When the first job of gamma is cancelled
    Then gamma runs 4 tasks within 8 s

  # Guards against starts of a former leader that a new leader doesn't count.
  Scenario: Starts are carried out late, after a change of leader
    Given customer alfa may run 4000 millicores
    And start orders take 2.5 s and have no answer
    When alfa submits 2 jobs with 4 tasks of 1000 millicores each
    And the leader is lost 0.2 s later
    Then alfa runs 4 tasks within 20 s
    And no more of alfa's start within 13 s

  # Guards against places of a cut-off worker's runs given to others at once.
  Scenario: The runs of a silent worker count until its lease has expired
    Given customer alfa may run 4000 millicores
    When alfa submits 3 jobs with 4 lasting tasks of 1000 millicores each
    Then alfa runs 4 tasks within 2 s
    When a worker with tasks of alfa is disconnected
    Then no more of alfa's start within 4 s
    And alfa runs 4 tasks within 25 s

  # Guards against machines that stand in a pool for tasks that may not start.
  Scenario: A pool asks for no machines for tasks that a limit holds back
    Given every worker has a machine
    And a plan in which service-a has a standby pool
    And machines worker-2 and worker-3 stand by
    And customer alfa may run 3000 millicores
    When alfa submits 20 jobs with 4 tasks of 1000 millicores each
    Then service-a needs 3 cores in 1 s
    And no machine is ordered to service-a within 4 s

  # Guards against a line in each plan, four a second for each customer.
  Scenario: One line when a customer meets its limit, and one when it leaves it
    Given runs take 0.5 s
    And customer alfa may run 2000 millicores
    When alfa submits 5 jobs with 4 tasks of 1000 millicores each
    Then the leader has logged customer_limit_met once for alfa within 8 s
    And the leader has logged customer_limit_left once for alfa within 20 s

  # Guards against jobs that are stored and wait for ever.
  Scenario Outline: A job that can never run within its customer's limit is refused when it is handed in
    Given customer alfa may run 4000 millicores
    When alfa calls with a <job>
    Then the job that it hands in is <answer>

    Examples:
      | job                              | answer                                   |
      | job of 1 task of 4000 millicores | stored                                   |
      | job of 1 task of 4001 millicores | refused for ever, naming alfa and 4000   |
      | job of 5 tasks of 1000 millicores | stored                                  |
      | gang of 4 tasks of 1000 millicores | stored                                 |
      | gang of 5 tasks of 1000 millicores | refused for ever, naming alfa and 4000 |

  # Guards against a stored job that a lowered limit makes untrue.
  Scenario: A job that is stored already waits when the limit becomes too low for it
    Given customer alfa may run 2000 millicores
    When alfa submits a job with 2 tasks of 1000 millicores
    Then alfa runs 2 tasks within 2 s
    When alfa submits a job with 1 task of 2000 millicores
    And the limit of alfa becomes 1000 millicores
    And alfa calls with its newest job again
    Then the job that it hands in is stored

  # Guards against a dump that doesn't say who waits for what.
  Scenario: The dump shows for each customer what runs against its limit, and what waits
    Given customer alfa may run 2000 millicores
    And customer beta has no limit
    When alfa submits a job with 6 tasks of 1000 millicores
    And beta submits a job with 2 tasks of 1000 millicores
    Then alfa runs 2 tasks within 2 s
    And beta runs 2 tasks within 2 s
    And the dump shows alfa with 2000 of 2000 millicores, 4 tasks waiting, at its limit
    And the dump shows beta with 2000 of 0 millicores, 0 tasks waiting, below its limit
