Feature: Orders without an answer delay little else

  # Guards against workers that get no start, retry or stop after one lost answer, although they answer other orders.
  Scenario: A worker that answers another order keeps getting starts
    Given a worker that was ordered 2 starts at 0.1 s
    When it answers the second start at 0.3 s
    And the first start counts as unanswered at 0.6 s
    Then the worker may get new runs
    And the next poll of it doesn't wait for a run to end

  # Guards against a silent worker that is found later than after the first order that it leaves unanswered.
  Scenario: A worker that answers nothing for the timeout of an order is suspect
    Given a worker that was ordered 2 starts at 0.1 s
    When the first start counts as unanswered at 0.6 s
    Then the worker gets no new run

  # Guards against a worker that can't be reached and counts as usable because it still reports.
  Scenario: Reports don't replace answers
    Given a worker that was ordered 2 starts at 0.1 s
    When it reports at 0.5 s
    And the first start counts as unanswered at 0.6 s
    Then the worker gets no new run

  # Guards against a worker that keeps its ended runs unseen, as it answers orders but no poll.
  Scenario: A worker that answers orders but no poll is suspect after a few polls
    Given a worker that was ordered 2 starts at 0.1 s
    When it answers the second start at 0.3 s
    And 2 polls of it count as unanswered at 0.5 s
    Then the worker may get new runs
    When 1 polls of it count as unanswered at 0.6 s
    Then the worker gets no new run

  # Guards against starts for a process that has ended, as it answered shortly before.
  Scenario: A worker whose address refuses a poll is suspect at once
    Given a worker that was ordered 2 starts at 0.1 s
    When it answers the second start at 0.3 s
    And its address refuses a poll at 0.35 s
    Then the worker gets no new run

  # Guards against starts that are late by the timeout of an order and a pause for each lost answer.
  Scenario: A start without an answer is sent again before its timeout, at growing intervals
    Given a worker that was ordered 1 starts at 0.1 s
    When the leader works until 0.6 s
    Then starts were sent at 0.10 s, 0.20 s and 0.40 s

  # Guards against starts that wait ever longer while answers of a responsive worker are lost.
  Scenario: While answers are lost, a start is sent again at a steady pace
    Given a worker that was ordered 1 starts at 0.1 s
    When a poll of it shows at 0.12 s that the answer to an earlier one was lost
    And the leader works until 0.6 s
    Then at least 5 starts were sent

  # Guards against calls and connections that a worker with a usual answer time doesn't need.
  Scenario: A start that is answered in time is sent once
    Given a worker that was ordered 1 starts at 0.1 s
    When it answers the first start at 0.18 s
    And the leader works until 1.5 s
    Then starts were sent at 0.10 s

  # Guards against twice the orders to workers that are merely slow.
  Scenario: A worker that usually takes longer gets a start again later
    Given a worker that has taken 0.2 s for each of 20 answers
    And it was ordered 1 starts at 0.1 s
    When the leader works until 0.28 s
    Then starts were sent at 0.10 s

  # Guards against runs that hold their room because the answer to their stop was lost.
  Scenario: A stop without an answer is sent again before its timeout
    Given a worker that was ordered 1 starts at 0.1 s
    When it answers the first start at 0.15 s
    And the run is stopped at 0.2 s
    And the leader works until 0.45 s
    Then the stop was sent 2 times

  # Guards against a task that runs twice: the first sending is carried out late, after its repetition was refused and the task started elsewhere.
  Scenario: A refused repetition doesn't void a start whose first sending is still open
    Given a worker that was ordered 1 starts at 0.1 s
    When the leader works until 0.25 s
    And it refuses the second start at 0.26 s
    And the leader works until 0.3 s
    Then no run is voided
    And the run is ordered to stop

  # Guards against orders that wait for those whose answer is lost, and are dropped unsent.
  Scenario: Orders without an answer don't keep others from being sent
    Given a worker of which four of five orders get no answer
    When it is sent 5 orders at once
    Then the fifth order is answered

  # Guards against runs that are stopped, and later start elsewhere, because three of their sendings were lost.
  Scenario: A start of which three sendings were lost is sent further
    Given a worker that was ordered 1 starts at 0.1 s
    When it answers polls but no start until 1.4 s
    Then at least 5 starts were sent
    And no order to stop the run was given

  # Guards against a run that waits for ever at a worker that answers polls, but never a start.
  Scenario: A start that is never answered is given up
    Given a worker that was ordered 1 starts at 0.1 s
    When it answers polls but no start until 3.0 s
    Then the run is ordered to stop

  # Guards against a task that is started again after its success: a worker that restarted while answers were lost dropped an end of its own, by the number of its former process's.
  Scenario: While a poll's answer is missing, no poll takes the number of a noted end
    Given a worker that was ordered 1 starts at 0.1 s
    And end 7 of it was noted
    When a poll of it shows at 0.12 s that the answer to an earlier one was lost
    Then the next poll of it takes the number 7
    When 1 polls of it count as unanswered at 0.3 s
    Then the next poll of it takes the number 0

  # Guards against a task that is started again after its success: a repeated poll made a restarted worker drop an end of its own, up to the number of the former process's, before anybody had read it.
  Scenario: A repeated poll carries the number of a noted end only soon after an answer
    Given a worker that was ordered 2 starts at 0.1 s
    When it answers the first start at 0.12 s
    And 1 polls of it count as unanswered at 0.15 s
    And its lists at 0.2 s show that the first run has ended
    And its polls until 1.2 s have no answer
    Then a poll of it with the number of the noted end was sent until 0.45 s
    And several were sent after that, all without the number

  # Guards against a task that is started again after its success: a sending of its start that an agent held back reached the worker after that had restarted under its name.
  Scenario: An end counts as noted at the worker only once no sending of its start can reach it
    Given a worker that was ordered 2 starts at 0.1 s
    When the leader works until 0.24 s
    And it answers the first start at 0.26 s
    And its lists at 0.3 s show that the first run has ended
    And its polls until 2.4 s are answered
    Then a poll with the number of the noted end was sent, and none until 1.8 s

  # Guards against late answers of which no log tells where the order stood.
  Scenario: A second in which answers were late is logged with where the orders stood
    Given a worker that was ordered 3 starts at 0.1 s
    When the first start is answered at 0.5 s, after 0.05 s in a queue and a call of 0.15 s
    And the second start counts as unanswered, and the third as unsent
    And the leader works until 1.3 s
    Then one line says that of 3 orders 1 was answered after 400 ms, 50 ms in queues and 150 ms in calls

  Scenario: A second in which every order is answered soon isn't logged
    Given a worker that was ordered 1 starts at 0.1 s
    When it answers the first start at 0.15 s
    And the leader works until 2.3 s
    Then no line tells where orders stood

  # Guards against a task that runs twice: a start comes late, after its run has ended and the worker has restarted under its name, while the next run is at work elsewhere.
  Scenario Outline: A restarted worker is ordered at once to refuse ended runs whose start may come late
    Given a worker that was ordered 2 starts at 0.1 s
    When the leader works until 0.24 s
    And it answers the first start at 0.26 s
    And its lists at 0.3 s show that the first run has ended
    And it restarts <times> times, and reports at <at> s
    Then it <outcome> the first run

    Examples:
      | times | at | outcome                     |
      | 1     | 1  | is ordered to refuse        |
      | 2     | 1  | is ordered to refuse        |
      | 1     | 13 | is ordered to refuse        |
      | 1     | 15 | gets no order about         |

  # Guards against two runs of a task: an older sending of a start is overtaken and refused, and a run that is still stopping is voided for it, so the next one begins beside it.
  Scenario Outline: A run that has begun isn't voided as another sending of its start is refused
    Given a worker that was ordered 1 starts at 0.1 s
    When the leader works until 0.7 s
    And its sendings are answered in this order: <answers>
    Then its run <outcome>

    Examples:
      | answers                                                       | outcome              |
      | second done, third refused, emptied, stop done, first refused | isn't voided         |
      | second done, third refused, emptied, first refused, stop done | isn't voided         |
      | second refused, first done, third refused                     | isn't voided         |
      | second refused, stop done, first done, third refused          | isn't voided         |
      | first refused, second refused, third refused                  | is voided as refused |

  # Guards against a run that is started after its task has ended done: a late start of a lost run ends, and is noted while the next run is being committed.
  Scenario: A run whose task is done before its start is ordered isn't started
    Given a task whose first run was lost
    When its next run is proposed, and an end done of the first one is committed before it
    Then the next run is voided, and not ordered
