Feature: A job is pending until a run of it has begun

  # Guards against jobs that are counted as begun while their start has no answer, for as long as their worker is cut off.
  Scenario: A job whose start has no answer is pending
    Given a worker that was ordered 1 starts at 0.1 s
    Then its job is pending
    When the first start stays without an answer until 5 s
    Then its job is pending

  Scenario Outline: A job of which a run has begun isn't pending
    Given a worker that was ordered 1 starts at 0.1 s
    When its run <way>
    Then its job isn't pending

    Examples:
      | way                   |
      | is confirmed          |
      | is listed             |
      | is listed as ended    |

  # Guards against jobs that a new leader counts as pending though they have run for long.
  Scenario: A new leader doesn't count a job as pending that was assigned before
    Given a worker that was ordered 1 starts at 0.1 s
    When its run is confirmed
    And a new leader takes over at 1 s
    Then its job isn't pending
