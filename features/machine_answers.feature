Feature: The platform's answer to an order for a machine counts only for the worker that it was for

  Background:
    Given a leader whose pools have machines

  # Guards against two runs of a task: the second confirmation of a move was taken for the end of the worker that had joined after the first.
  Scenario: A worker that joined after an unanswered move keeps its runs when the move is confirmed again
    Given the next answer of the platform to an order for a machine is lost
    When service-a lacks machines until one from standby has joined and runs tasks
    And the move is confirmed again
    Then the worker that has joined counts as over at no time
    And every task has run once

  # Guards against two runs of a task after a change of leader: a former leader's move was taken for the end of the worker that it had brought.
  Scenario: A worker that a former leader's move has brought keeps its runs when the new leader repeats the move
    Given the next answer of the platform to an order for a machine is lost
    When service-a lacks machines, and the leader is replaced once the move is carried out
    And the move is confirmed again
    Then the worker that has joined counts as over at no time
    And every task has run once

  # Guards against two runs of a task: the second confirmation of an upkeep was taken for the end of the worker that had joined after the first.
  Scenario: A worker that joined after an unanswered upkeep keeps its runs when the upkeep is confirmed again
    Given the next answer of the platform to an order for a machine is lost
    When a machine of service-a has its upkeep, and its next worker gets tasks before the list shows it
    And the upkeep is confirmed again
    Then the worker that has joined counts as over at no time
    And it gets tasks again

  # Guards against tasks that are stopped and started again and again on a machine that is being emptied, as its worker reported after that had begun.
  Scenario: A worker that reports after its machine's upkeep was planned gets no tasks
    Given workers report 2 s after the platform lists them
    When a machine of service-a comes back from its upkeep, and the next wave names it 0.8 s later
    And the platform accepts no orders for 6 s
    And its worker reports, and a job that needs all workers of service-a is submitted
    Then no task starts on it before its upkeep

  # Guards against the same after a crash, when the machine's worker comes back under its name.
  Scenario: A worker that crashes while its machine is emptied gets no tasks when it is back
    When a job with 6 lasting tasks of service-a is submitted
    And the platform accepts no orders for 6 s
    And a machine with some of them is being emptied, and its worker crashes and is back
    Then no task starts on it before its upkeep

  # Guards against more machines down than a wave allows: a new leader began the next machine before it took up a former leader's order.
  Scenario: A new leader counts a machine of a wave whose order a former leader may have sent
    Given the platform accepts no orders for 8 s
    When a wave over two machines of service-a, one at a time, begins with one of them
    And lasting tasks fill the other one, which makes it the first to be emptied
    And the leader is replaced
    Then the wave takes both down within 30 s, one at a time

  # Guards against an order that is taken for a former leader's and sent again while the record of its outcome isn't committed yet.
  Scenario: A move that the platform refuses is settled before the machine gets another order
    Given the platform refuses moves for 3 s
    When service-a lacks machines for 6 s
    Then no order of this leader is taken for a former leader's
