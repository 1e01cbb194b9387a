Feature: Workers that have failed are tried again, also while they hold tasks

  Background:
    Given a leader that has polled 4 workers
    And two workers are full of lasting tasks, and two hold one small lasting task each

  # Guards against a job that waits for good beside sound workers: they failed twice, and as they hold a lasting task, they were never tried again.
  Scenario: A task finds the room of workers that have failed and hold a lasting task
    Given the two with room fail what they start for 3 s, one after the other
    When nothing happens for 8 s, and a job of 1 task that only they have room for is submitted
    Then it starts within 1 s

  # Guards against a gang that waits for good, as several of its tasks fit only workers that have failed.
  Scenario: A gang finds the room of workers that have failed at once
    Given the two with room fail what they start for 3 s, at once
    When nothing happens for 8 s, and a gang of 3 tasks that only they have room for is submitted
    Then it starts within 1 s

  # Guards against a task that waits for the whole pause of workers that have failed often, while no other has room.
  Scenario: A worker that failed often is tried sooner by a task that finds no other room
    Given a worker of which 8 runs have failed, and a lasting one goes on
    Then it may be tried after 4 s if no other worker has room, and else after 16 s

  # Guards against a worker that goes on failing, and gets its full share as it holds a lasting task.
  Scenario: A worker that goes on failing gets single runs, also while it holds a lasting task
    Given the one with room goes on failing what it starts
    When 40 jobs with 2 tasks of half its free room are submitted, one every 0.3 s
    Then the failing worker got between 1 and 8 of the runs
    And every job of them succeeds within 20 s

  # Guards against a worker that is tried with one lasting task after the other while nobody knows whether the first goes on.
  Scenario: A lasting task counts as a probe until it has worked for a while
    Given a worker of which 2 runs have failed, and a lasting one goes on
    Then it may be tried with a lasting task after 1 s
    And not with another run before that has worked for 1 s
    And with another run after that
