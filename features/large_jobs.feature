Feature: The leader's work for a job grows no faster than the job

  # Guards against a leader that is busy with one large job for longer than its lease, and with it every later leader, as the job is in the log.
  Scenario Outline: A job that is four times as large takes about four times the work
    When jobs with <shape> are played, one about four times as large as the other
    Then each part of the leader's work grows at most 1.5 times as fast as the job

    Examples:
      | shape                                     |
      | steps that are all ready at once          |
      | a chain of steps                          |
      | half of the steps behind the other half   |
      | a last step behind all others             |
      | all steps behind the first one            |
      | steps of two tasks                        |
      | one step of many tasks                    |
      | one gang                                  |
      | one gang that saves its progress          |
      | many occurrences                          |
      | many lasting steps                        |
      | steps that may have one task on a worker  |
      | steps that are slower across racks        |

  # Guards against a job that leaves no leader, as each one builds all steps of all times that were ever due, done ones too, before its lease is renewed.
  Scenario Outline: A job of which ten times as many times are due takes no more work at once
    When jobs with <count> due times of <steps> steps and with ten times as many are played
    Then each part of the leader's work grows at most 1.5 times

    Examples:
      | count | steps |
      | 150   | 1     |
      | 30    | 16    |

  # Guards against due times that are lost or run twice, as few of them are looked at at a time and done ones aren't stored.
  Scenario: Each of many due times runs once, in their order, over a change of leader
    When a job with 400 due times of 2 steps is played, and another replica leads after 3 s
    Then each of its tasks was started once, and the longest due first
    And nothing is stored of its tasks

  # Guards against a job whose memory grows with its done times: the others of a gang end after the one by which it is done.
  Scenario: Nothing is stored of the done times of a gang that saves its progress
    When a job with 20 due times of a gang of 3 tasks is played
    Then nothing is stored of its tasks

  # Guards against a task that runs again: a run is assigned while an earlier one is listed as done, and its occurrence isn't stored any more.
  Scenario: A run that is assigned as its occurrence is done isn't wanted
    Given a job with 3 due times of 1 steps, of which time 1 is done
    When another run of time 1 is assigned
    Then its task counts as done, and isn't stored after the end of that run

  # Guards against a job whose times wait for as long as the backlog of other jobs lasts.
  Scenario: A due time of a job without an open one doesn't wait for the backlog of others
    Given 40 jobs with 1000 due times each
    When a job with one due time is added after them
    Then its due time is open within 0.5 s, and at most 1100 steps are
