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
