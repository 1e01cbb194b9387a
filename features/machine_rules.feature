Feature: Machines are emptied, taken down and moved within the bounds of waves and tasks

  Background:
    Given a leader that has polled 4 workers
    And every worker has a machine

  Scenario: A wave takes each machine down once, when empty, within the bound of the wave
    Given runs take 1 s
    When a wave over all 4 machines, 2 at once within 30 s, is accepted
    And 6 jobs with 4 tasks each are submitted, one every 0.3 s
    Then the wave is done within 25 s
    And each machine had one upkeep, with at most 2 down at once
    And every job succeeds within 20 s

  Scenario: A lasting task is stopped only while no more tasks of its job are out than the job allows
    Given runs take 100 s
    When a job with 4 lasting tasks of which 1 may be out is submitted
    And it runs for 3 s and a wave over all 4 machines, 4 at once within 40 s, is accepted
    Then the wave is done within 38 s
    And at no time were 2 of its tasks out after an order

  # Guards against a wave that is done without the upkeep of a machine that one list lacked, and against a machine that counts as back as one list lacks it.
  Scenario: A machine that is missing from one list is still there
    Given runs take 1 s
    And each third list of machines lacks one, another one each time
    When a wave over all 4 machines, 1 at once within 60 s, is accepted
    And 6 jobs with 4 tasks each are submitted, one every 0.3 s
    Then the wave is done within 60 s
    And each machine had one upkeep, with at most 1 down at once

  Scenario: A machine that has left the fleet needs no upkeep
    When a wave over a machine that is not there is accepted
    Then the wave is done within 3 s

  Scenario: A machine moves from the standby pool to a pool with waiting tasks
    Given a plan in which service-a has a standby pool
    And machines worker-2 and worker-3 stand by
    When 20 jobs with 4 tasks each are submitted, one every 0.1 s
    Then worker-2 or worker-3 is ordered to service-a within 4 s

  Scenario: A new leader gives no order for a machine that another has just ordered
    When another leader has ordered the upkeep of worker-1 just now
    Then the next order for worker-1 comes no sooner than 3 s later

  Scenario: A new leader counts the machines that are down already
    Given runs take 1 s
    When a wave over all 4 machines, 1 at once within 40 s, is accepted
    And the leader is lost right after its first order for a machine
    Then the wave is done within 38 s
    And each machine had one upkeep, with at most 1 down at once

  Scenario: A duty without an answer is sent again, and its machine counts as down
    Given the platform doesn't answer
    When a wave over all 4 machines, 1 at once within 30 s, is accepted
    Then only one machine is ordered within 6 s, more than once

  Scenario: Tasks of a lost machine start elsewhere, even if an order to it is unanswered
    Given runs take 100 s
    When a job with 12 lasting tasks is submitted
    And it runs for 2 s and the machine of worker-3 is lost with an order open
    Then all 12 tasks run elsewhere than on worker-3 within 3 s

  Scenario: A worker that is only cut off keeps its tasks until its lease expires
    Given runs take 100 s
    When a job with 12 lasting tasks is submitted
    And it runs for 2 s and worker-3 is cut off with an order open
    Then nothing of it starts again within 6 s

  # Guards against a wait for a lease although the platform has taken the worker's machine: a move that was carried out late.
  Scenario: Tasks of a worker whose machine stands by start elsewhere, even if an order to it is unanswered
    Given runs take 100 s
    When a job with 12 lasting tasks is submitted
    And it runs for 2 s and the machine of worker-3 moves to standby with an order open
    Then all 12 tasks run elsewhere than on worker-3 within 6 s

  # Guards against a wait for a lease although the platform has taken the worker's machine before a new leader's first list.
  Scenario: Tasks of a worker whose machine is lost together with the leader start elsewhere
    Given runs take 100 s
    When a job with 12 lasting tasks is submitted
    And it runs for 2 s and the leader is lost together with worker-3, whose machine gets another worker
    Then all 12 tasks run elsewhere than on worker-3 within 6 s

  # Guards against two runs of a task whose worker is newer than the platform's list.
  Scenario: A silent worker that is newer than the platform's lists doesn't count as lost
    Given two workers, and lists that hold only the other one
    When both fall silent 0.1 s after the first was seen, and the lists go on
    Then the first counts as lost after 3 s, and not before

  # Guards against two runs of a task where the platform doesn't list the workers of a service.
  Scenario: A silent worker of a service without listed workers doesn't count as lost
    Given two workers of different services, and lists that hold only the other one
    When both fall silent 0.1 s after the first was seen, and the lists go on
    Then the first never counts as lost

  # Guards against two runs of a task: a list requested while the worker was silent before counted for its next silence.
  Scenario: A list of an earlier silence doesn't count for the next one
    Given two workers that were listed, and lists that hold only the other one
    When the first falls silent for one list, answers, and falls silent again
    Then the first counts as lost after 2 more lists

  # Guards against two runs of a task: one list without a machine, read in pages while the fleet changed, was taken for the machine's end.
  Scenario: A silent worker whose machine is missing from one list doesn't count as lost
    Given two workers that were listed, and lists that hold only the other one's machine
    When the first falls silent
    Then the first counts as lost after 2 more lists

  # Guards against a wave that is called done without a machine whose state
  # nobody knows.
  Scenario: A wave isn't done while the state of one of its machines is unknown
    Given the state of worker-1's machine is unknown
    When a wave over all 4 machines, 2 at once within 30 s, is accepted
    Then it isn't done within 20 s, and the other machines had their upkeep
