@split
Feature: Entries track upstreams by their announcements, and callers get complete answers

  Background:
    Given 3 control replicas and 2 entries
    And upstreams vm-1, vm-2 and vm-3 announce pool dispatch-pool to any entry
    And ticket 1 puts pool dispatch-pool for service dispatch in force

  Scenario: A leaving upstream gets no new call and finishes its running ones
    Given callers call service dispatch all the time
    When vm-1 leaves
    Then no entry gives vm-1 a call that starts more than 3 s later
    And every call of the callers was answered completely

  Scenario: A late announcement does not bring back an upstream that has left
    When vm-1 leaves
    And the first announcement of vm-1 arrives again at each entry
    Then vm-1 is leaving at each entry
    When vm-1 starts again with a new boot
    Then vm-1 is up at each entry

  Scenario: An upstream that stops announcing is silent until it announces again
    When vm-1 stops announcing itself
    Then vm-1 is silent at each entry
    When vm-1 announces itself again
    Then vm-1 is up at each entry

  Scenario: The remaining entry detects the silence of a killed entry's upstreams
    When entry-1 is killed
    And every upstream announces itself to entry-2 and vm-1, vm-2 and vm-3 stop
    Then vm-1, vm-2 and vm-3 are silent at entry-2

  Scenario: A VM that a ticket moves to another pool serves that pool only
    When ticket 2 moves vm-3 to pool archive-pool of service archive
    Then 30 calls to service dispatch through each entry run at vm-1 and vm-2
    And 5 calls to service archive through each entry run at vm-3
    And ticket 3 that names vm-3 in both pools is refused

  Scenario Outline: A truncated answer is not passed on as complete, and GET is retried elsewhere
    Given vm-1 and vm-2 answer with fault <fault>
    When 12 GET calls are sent through each entry
    Then each gets a complete answer from vm-3
    When 4 POST calls are sent to the faulty upstreams
    Then none of them gets a partial answer, and none ran twice

    Examples:
      | fault       |
      | cut_headers |
      | cut_body    |
      | unsized     |

  Scenario: Each caller gets the answer to its own request
    When 200 calls with different bodies and delays run at once through both entries
    Then each answer holds its own request's body

  Scenario: Callers that disconnect free their places in the queue
    When 24 calls hold every slot for 1500 ms
    And 300 callers queue at entry-1 and disconnect
    Then no call waits at entry-1
    And the upstreams have run the 24 calls only

  Scenario: Requests beyond the limits get a clear error
    When a body of 9 MB is sent to entry-1
    Then the answer is 413 and names body and '9000000'
    When a header of 40 kB is sent to entry-1
    Then the answer is 400 or 431
    When a sender stops in the middle of its body with a deadline of 500 ms
    Then the answer is 408 with outcome not-run and reason too_slow
    And no upstream has run a call
