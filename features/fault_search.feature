Feature: Seeded fault searches find no violated invariant

  Scenario: Control replicas agree through cuts, crashes, lost disks and changes of voters
    When 2000 schedules of the replica search run from seed 0
    Then no schedule violates an invariant
    And the schedules exercised commits, leaders, crashes, membership_changes, snapshots_installed and lost_disks

  Scenario: Control replicas agree while leaders sync in the background and crashes lose unsynced writes
    When 1000 schedules of the syncing search run from seed 0
    Then no schedule violates an invariant
    And the schedules exercised commits, leaders, crashes, background_syncs, membership_changes, snapshots_installed and lost_disks

  Scenario: Accepted tickets come in force and stay in force, and waves cut no call
    When 300 schedules of the control search run from seed 0
    Then no schedule violates an invariant
    And the schedules exercised accepted, refused, in_force, reboots, calls, crashes and lease_gaps

  Scenario: No task runs twice, too early, beyond its capacity or after its end, and no accepted job is lost
    When 300 schedules of the job search run from seed 0
    Then no schedule violates an invariant
    And the schedules exercised accepted, cancelled, starts, succeeded, crashes, worker_restarts, late_orders, unsent, refusals and leaders

  # Guards against a run that is never ordered again after a late answer.
  Scenario: A suspended leader asks again for an answer that it attributed to another incarnation
    When 1 schedules of the job search run from seed 352
    Then no schedule violates an invariant

  Scenario: No task runs twice while agents hold orders back, leave them unsent or send them twice
    When 200 schedules of the agent search run from seed 0
    Then no schedule violates an invariant
    And the schedules exercised accepted, cancelled, starts, succeeded, crashes, worker_restarts, late_orders, held, doubled, unsent, refusals and leaders

  # Guards against starts beyond a customer's limit, and against a leader whose count of what runs drifts.
  Scenario: No start exceeds its customer's limit while limits change, leaders change and orders come late
    When 200 schedules of the limit search run from seed 0
    Then no schedule violates an invariant
    And the schedules exercised accepted, starts, succeeded, crashes, worker_restarts, late_orders, held, unsent, leaders, limit_changes, limits_met and withdrawn

  # Guards against tasks that crash worker after worker, innocent jobs that are given up, and starts beyond a room that has shrunk.
  Scenario: Tasks that crash their workers are given up within their budget, and no other job is
    When 22 schedules of the crash search run from seed 0
    Then no schedule violates an invariant
    When 47 schedules of the crash search run from seed 23
    Then no schedule violates an invariant
    And the schedules exercised accepted, starts, succeeded, crashes, worker_restarts, late_orders, held, unsent, leaders, deadly_jobs, crashes_by_tasks, given_up, room_changes and withdrawn
    When 30 schedules of the crash search run from seed 71
    Then no schedule violates an invariant

  # Guards against a task that is started beyond its budget as the leader changes between its starts and their crashes.
  Scenario: A task that crashes its workers is given up although the leader changes four times
    When 1 schedules of the crash search run from seed 70
    Then no schedule violates an invariant

  # Guards against the same for a task whose starts another leader finds uncertain each time.
  Scenario: A task that crashes its workers is given up although another leader finds its starts
    When 1 schedules of the crash search run from seed 22
    Then no schedule violates an invariant

  # Guards against two runs of a task, and tasks stopped again and again, while orders for machines are answered late, twice or never.
  Scenario: No task runs twice while machines move, go down and get new workers
    When 60 schedules of the machine search run from seed 0
    Then no schedule violates an invariant
    And the schedules exercised accepted, starts, succeeded, crashes, worker_restarts, leaders, waves and confirmed_again

  # Guards against an answer that is taken for the outcome of an earlier sending, which still takes effect.
  Scenario: No task runs twice while connections break, agents hold orders back and repetitions are refused
    When 100 schedules of the sending search run from seed 0
    Then no schedule violates an invariant
    And the schedules exercised accepted, cancelled, starts, succeeded, crashes, worker_restarts, late_orders, held, unsent, refusals, leaders, broken, queued and refused_repeats

  # Guards against a task that is started again after its success: a poll that was held back made a restarted worker drop an end of its own unseen.
  Scenario: No task runs twice while workers restart at once and agents hold orders for the former process back
    When 18 schedules of the restart search run from seed 0
    Then no schedule violates an invariant
    When 41 schedules of the restart search run from seed 19
    Then no schedule violates an invariant
    And the schedules exercised accepted, starts, succeeded, crashes, worker_restarts, held, unsent, leaders, broken, queued and refused_repeats

  # Guards against a job that is given up for crashes of workers on which its runs had ended already.
  Scenario: No job fails without cause while workers restart at once and agents hold orders back
    When 1 schedules of the restart search run from seed 18
    Then no schedule violates an invariant

  # Guards against two runs of a task whose worker has said that it leaves, and goes on or is back under its name.
  Scenario: No task runs twice while workers drain, leave with or without an acknowledgement, and come back
    When 60 schedules of the leave search run from seed 0
    Then no schedule violates an invariant
    And the schedules exercised accepted, starts, succeeded, crashes, worker_restarts, late_orders, leaders and notices

  # Guards against two runs of a task whose worker was cut off just after its notice to leave, and went on without an acknowledgement.
  Scenario: A worker that is cut off just after its notice to leave doesn't count as gone
    When 1 schedules of the leave search run from seed 1073
    Then no schedule violates an invariant

  # Guards against two runs of a task: a start without an answer is carried out by a process that is back under its worker's name, after the run was ended, voided or lost, or the leader has changed.
  Scenario: No task runs twice while starts are late, agents let them overtake each other, workers restart and leaders change
    When 4 schedules of the late_start search run from seed 0
    Then no schedule violates an invariant
    When 35 schedules of the late_start search run from seed 5
    Then no schedule violates an invariant
    And the schedules exercised accepted, starts, succeeded, crashes, worker_restarts, leaders, refusals, notices, unsent, unanswered, agent_restarts, twins, overtaken, refused_under_way, absent_under_way, late_starts and late_refused

  # Guards against two runs of a task: a process that is cut off carries a former leader's start out before any leader knows of it.
  Scenario: No task starts beside a late start at a process that nobody has heard of
    When 1 schedules of the late_start search run from seed 4
    Then no schedule violates an invariant

  # Guards against answers that are matched to other calls after restarts, delays and duplicates.
  Scenario: No caller gets an answer that belongs to another job or to an earlier call
    When 300 schedules of the reply search run from seed 0
    Then no schedule violates an invariant
    And the schedules exercised accepted, shown, denied, refused, unknown, restarts, silences and late_answers

  # Guards against a worker that is declared over while it holds a lease: one that its restarted process took by an order to the former one.
  Scenario: No worker that restarts and is cut off is over before its lease has ended
    When 100 schedules of the recut search run from seed 0
    Then no schedule violates an invariant
    And the schedules exercised accepted, starts, succeeded, worker_restarts, leaders, recuts, held_orders and lapsed_lives
