Feature: Processes on the platform refuse odd entries and go on

  # Guards against processes that end, or fail at each step, after one entry.
  Scenario: Odd entries are refused, and work goes on
    Given 3 control replicas, 1 entries and 2 workers with a configuration
    When odd heartbeats, configurations, waves, jobs and paths are sent
    Then each is answered with a status from 400 to 499
    And no process has ended or logged a failure
    When a job of 3 and then 2 tasks is submitted at entry-1
    Then it is shown as succeeded at entry-1
