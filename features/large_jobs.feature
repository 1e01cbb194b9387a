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
