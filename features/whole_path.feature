@split
Feature: A ticket is put in force and calls are answered through any entry

  Background:
    Given 3 control replicas and 2 entries
    And upstreams vm-1, vm-2 and vm-3 announce pool dispatch-pool to any entry
    And ticket 1 puts pool dispatch-pool for service dispatch in force

  Scenario: A call through each entry gets the complete answer
    When a caller sends 60000 bytes to service dispatch through each entry
    Then each answer holds the same bytes and is marked answered
    And the history shows ticket 1 accepted and then in force
    And every entry has applied the revision of ticket 1 or a newer one

  Scenario: A refused call is reported as not run
    When a caller calls service nowhere
    Then the answer is 404 with outcome not-run and reason unknown_service
    When a caller calls with header Greengagering-Class set to soon
    Then the answer is 400 and names Greengagering-Class and 'soon'
    When a caller calls with header Greengagering-Deadline-Ms set to 2s
    Then the answer is 400 and names Greengagering-Deadline-Ms and '2s'
    And no upstream has run a call

  Scenario: A call that runs past its deadline is reported as unknown, not as not-run
    When a caller calls an upstream that sleeps 3000 ms with a deadline of 300 ms
    Then the answer is 504 with outcome unknown and reason deadline_passed

  Scenario: Urgent calls leave the queue before patient ones
    Given the upstreams of the pool have one slot each
    When 3 calls hold every slot, then 4 patient and 4 urgent calls wait
    Then the urgent calls are answered before the last patient ones

  Scenario: A call whose deadline passes in the queue is refused without running
    When 24 calls hold every slot for 1500 ms
    And a caller calls with a deadline of 200 ms
    Then the answer is 503 with outcome not-run and reason deadline_passed

  Scenario: A planned stop of an entry interrupts no call
    When 6 calls of 1800 ms run through entry-1
    And entry-1 is asked to stop
    Then entry-1 soon fails its readiness check while it still answers calls
    And the 6 calls are answered completely
    And entry-1 ends with exit code 0
    And entry-2 answers calls

  Scenario: A planned stop of each control replica ends with exit code 0
    When the leader is asked to stop
    Then that replica ends with exit code 0
    And another replica leads and ticket 1 is in its history
