Feature: Starts that are carried out late run beside no other run of their task

  # Guards against two runs of a task of which no line tells that a sending of the first was made.
  Scenario Outline: A start that was sent and isn't confirmed is logged
    Given a worker whose answer to a start is <outcome>
    When the start is sent
    Then <lines> lines say that it isn't confirmed, with run, incarnation, fence and outcome

    Examples:
      | outcome     | lines |
      | no answer   | 1     |
      | a failure   | 1     |
      | a refusal   | 1     |
      | done        | 0     |

  # Guards against a live worker that was declared over, and no line tells that it goes on.
  Scenario: A worker that reports after it was declared over is logged
    Given a worker that was ordered 1 starts at 0.1 s
    When it is declared over for a move at 0.2 s
    And it reports at 0.7 s
    Then a line says that it is seen again 0.5 s after its end for a move

  # Guards against a voided run of which no line tells whether a sending of it was open.
  Scenario: A voided run's line tells which sendings were open
    Given a worker that was ordered 1 starts at 0.1 s
    When its run is voided after a refused repetition and a stop
    Then the line of the voided run gives 1 start under way

  # Guards against stray runs of which no line tells how they left the leader's view.
  Scenario: A stray run's line tells how it left the view
    Given a worker that was ordered 1 starts at 0.1 s
    When its run is voided after a refused repetition and a stop
    And it lists the voided run as running
    Then the line of the stray run says that it was voided as absent

  # Guards against a task that runs twice: a sending of its first run's start is carried out by a worker that is back under its name, after the run has left the leader's view.
  Scenario Outline: A worker that is back is ordered at once to refuse runs of which a start may come late
    Given a worker that was ordered 1 starts at 0.1 s
    When its run has left the leader's view: <way>
    And it is back as <process> at <at> s
    Then it is ordered to refuse the first run, and gets no run before it has confirmed that

    Examples:
      | way                              | process              | at |
      | voided after a stop              | a new process        | 3  |
      | voided after a stop              | a new process        | 13 |
      | voided after a stop              | the second new one   | 4  |
      | its worker left                  | a new process        | 3  |
      | its worker left                  | the second new one   | 4  |
      | its worker left                  | the same process     | 3  |
      | its address is another worker's  | a new process        | 3  |
      | its address is another worker's  | the same process     | 3  |
      | over for move                    | a new process        | 3  |
      | over for upkeep                  | a new process        | 3  |
      | over for machine lost            | a new process        | 3  |
      | over for move                    | the same process     | 3  |
      | over for machine lost            | the same process     | 3  |
      | lost by a restart                | a new process        | 4  |

  # Guards against orders for workers of which no start can come late any more.
  Scenario Outline: A worker that is back gets no order about runs of which no start can come late
    Given a worker that was ordered 1 starts at 0.1 s
    When its run has left the leader's view: <way>
    And it is back as a new process at <at> s
    Then it gets no order about the first run

    Examples:
      | way                              | at |
      | voided after a stop              | 17 |
      | its worker left                  | 17 |
      | over for move                    | 17 |
      | lease lapsed                     | 40 |
      | voided after an answer to each   | 3  |
      | not sent, then over for move     | 3  |

  # Guards against orders to refuse that are lost, as nobody repeats them once the earlier process is over.
  Scenario: The order to refuse is repeated until it is confirmed
    Given a worker that was ordered 1 starts at 0.1 s
    When its run has left the leader's view: its worker left
    And it is back as a new process at 3 s
    Then the order to refuse the first run is repeated until it is confirmed

  # Guards against a start that is sent to a later process: it waited while the leader had no lease, and its run was lost meanwhile.
  Scenario Outline: A start that waits while the leader has no lease isn't sent after its worker has <event>
    Given a worker with 1 starts that wait at 0.1 s as the leader has no lease
    When its worker has <event> at 0.3 s
    And the leader has its lease again
    Then no start is sent

    Examples:
      | event               |
      | been declared over  |
      | restarted           |
      | got its run stopped |

  # Guards against a restarted worker that carries out a former leader's start, as nobody gave it the new term before its pause was over.
  Scenario: A restarted worker gets a new leader's term at once
    Given a worker that was ordered 1 starts at 0.1 s
    When a new leader takes over at 1 s
    And the worker restarts, and reports at 1.4 s
    Then a poll with the new term is due at once, and doesn't count as read
    And a poll that is due after the pause counts as read

  # Guards against a restarted worker that carries out what the present leader sent to its former process, as only a new leader's first seconds brought it a fence at once.
  Scenario: Long after a change of leader a restarted worker gets its own fence at once, by one poll
    Given a worker that was ordered 1 starts at 0.1 s
    When a new leader takes over at 1 s
    And the worker restarts, and reports at 15 s
    Then a poll with the new term is due at once, and doesn't count as read
    And a poll that is due after the pause counts as read
