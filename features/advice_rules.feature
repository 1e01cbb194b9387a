Feature: Tasks of a queue with advice run only on workers that the adviser permits

  Background:
    Given a leader that has polled 4 workers
    And a queue whose adviser is asked for permits of 3 s

  Scenario: Tasks go only to permitted workers, and carry their permits
    When a job with 4 tasks is submitted to the queue with advice
    Then the adviser is asked about its step
    When the adviser permits worker-1 and worker-2
    Then the 4 tasks start on worker-1 and worker-2 with their permits

  Scenario: Without an answer no task starts, and the adviser is asked again
    When a job with 4 tasks is submitted to the queue with advice
    Then the adviser is asked about its step
    When it gives no answer
    Then the adviser is asked about its step
    And no order to start was given

  Scenario: One request is open at a time
    When 3 jobs with 1 task are submitted to the queue with advice
    Then only one request is open

  Scenario: An expired permit is requested again
    When a job with 1 task is submitted to the queue with advice
    Then the adviser is asked about its step
    When it permits worker-1 and worker-1 drains for 4 s
    Then the adviser is asked about its step

  Scenario: A permit that its worker refused is requested again
    When a job with 1 task is submitted to the queue with advice
    Then the adviser is asked about its step
    When it permits worker-1 and worker-1 refuses the permit
    Then the adviser is asked about its step

  # Guards against jobs that never begin while two others wait for a full worker.
  Scenario: Steps whose permitted worker is full don't keep others from advice
    Given the adviser permits worker-1 for large jobs, and the others for small ones
    When 4 large jobs and then 2 small jobs are submitted to the queue with advice
    Then the small jobs run within 3 s
    And the adviser is asked once about each large job

  # Guards against jobs that never begin while the permits of two others expire before they are used.
  Scenario: Steps that need advice again and again don't keep others from it
    Given the adviser's permits for large jobs expire at once
    When 4 large jobs and then 2 small jobs are submitted to the queue with advice
    Then the small jobs run within 3 s

  # Guards against a task that waits for one with a worker of its own that is never asked about again.
  Scenario: A step that waits for its full worker is permitted once the worker has room
    Given the adviser permits worker-1 for large jobs, and the others for small ones
    When 2 large jobs and then 0 small jobs are submitted to the queue with advice
    And 10 s pass and the first large job is cancelled
    Then the second large job runs within 2 s
