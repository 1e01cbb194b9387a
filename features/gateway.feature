Feature: An entry forwards calls to the leader and reports their true outcome

  Background:
    Given an entry that knows the seeds control-1 and control-2

  Scenario: Every seed is probed until a leader is found
    When time passes without an answer
    Then both seeds are asked again and again
    When control-2 answers that control-3 leads
    And control-3 answers that it leads
    Then the entry is ready, and only control-3 is asked from then on

  Scenario: A call is forwarded to the leader, and its answer returned
    Given control-1 leads
    When a job is submitted with a deadline in 3 s
    Then it is sent to control-1
    When control-1 answers it as done
    Then the caller gets the outcome done

  Scenario: A call without an answer is sent again, to a new leader if there is one
    Given control-1 leads
    When a job is submitted with a deadline in 3 s
    And control-1 falls silent and control-2 leads
    Then it is sent to control-2
    When control-2 answers it as done
    Then the caller gets the outcome done

  Scenario: A call that a former leader refuses is sent to the new one
    Given control-1 leads
    When a job is submitted with a deadline in 3 s
    And control-1 answers that it can't decide, and control-2 leads
    Then it is sent to control-2

  Scenario: The outcome of a call that was sent and never answered is unknown
    Given control-1 leads
    When a job is submitted with a deadline in 1 s
    And time passes without an answer
    Then the caller gets the outcome unknown after 1 s

  Scenario: A call that was never sent is refused, with a time after which to retry
    When a job is submitted with a deadline in 3 s
    And time passes without an answer
    Then the caller gets the outcome unavailable after 1 s
    And the answer says when to retry

  Scenario: The call of a caller that has disconnected is dropped
    Given control-1 leads
    When a job is submitted with a deadline in 3 s
    And its caller disconnects
    Then nothing is sent any more, and no answer is kept

  Scenario: Calls above the maximum of an entry are refused at once
    When 2001 jobs are submitted with a deadline in 3 s
    Then the last caller gets the outcome overloaded at once

  # Guards against sending calls to a former leader until their deadline, after its delayed message.
  Scenario: A delayed message of a former leader doesn't replace the leader
    Given control-1 leads
    When control-1 falls silent and control-2 leads
    And a delayed message arrives that control-1 leads
    And a job is submitted with a deadline in 3 s
    Then it is sent to control-2

  # Guards against sending no calls to the leader after a refusal of a former one.
  Scenario: A refusal of a former leader doesn't start a search for another one
    Given control-1 leads
    When a job is submitted with a deadline in 3 s
    And control-1 falls silent and control-2 leads
    And control-1 answers too late that it can't decide
    Then the entry is still ready

  # Guards against reporting a job as refused to its caller although it runs.
  Scenario: A refusal of a call that was sent twice leaves its outcome unknown
    Given control-1 leads
    When a job is submitted with a deadline in 3 s
    And control-1 falls silent and control-2 leads
    And control-2 answers that there is no such queue
    Then the caller gets the outcome unknown

  # Guards against telling a caller that its job was not cancelled although the first sending cancelled it.
  Scenario Outline: A call that was sent twice and then refused for its key is <outcome> if it could <kind> a job
    Given control-1 leads
    When a call to <kind> a job is sent
    And control-1 falls silent and control-2 leads
    And control-2 refuses its key
    Then the caller gets the outcome <outcome>

    Examples:
      | kind   | outcome    |
      | cancel | unknown    |
      | show   | overloaded |

  # Guards against telling callers that a call may have run although the only process that got it did not lead.
  Scenario: A call that only a process without the lead has got is refused
    Given control-1 leads
    When a job is submitted with a deadline in 3 s
    And control-1 answers that it doesn't lead, and no other process leads
    Then the caller gets the outcome unavailable after 1 s

  # Guards against refusing a call that an earlier leader may have carried out.
  Scenario: A call that a leader has got before keeps its outcome unknown
    Given control-1 leads
    When a job is submitted with a deadline in 3 s
    And control-1 falls silent and control-2 leads
    And control-2 answers that it doesn't lead, and no other process leads
    Then the caller gets the outcome unknown after 3 s

  # Guards against taking a copy of the first process's refusal for one of the process that has the call now.
  Scenario: A repeated refusal of the first process says nothing about the second one
    Given control-1 leads
    When a job is submitted with a deadline in 3 s
    And control-1 answers that it doesn't lead, and control-2 leads
    And control-1 answers that it doesn't lead, and no other process leads
    Then the caller gets the outcome unknown after 3 s

  # Guards against taking a lease that was lost after a change was proposed for a call without effect.
  Scenario: A refusal of a process that may have begun the call leaves its outcome unknown
    Given control-1 leads
    When a job is submitted with a deadline in 1 s
    And control-1 answers that it has lost the lead, and no other process leads
    Then the caller gets the outcome unknown after 1 s
