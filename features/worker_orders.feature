Feature: An answer to an order counts only for the sending that it belongs to

  # Guards against a task that runs twice: the worker carries out a start, closes the connection, and refuses a second sending of it.
  Scenario: A start whose connection breaks leaves the run and its lease open
    Given a worker that closes the connection of the first order and refuses the next ones for lack of room
    When the leader orders a start
    Then the run is not voided
    And the worker's lease counts as possibly held for 20 s
    And the worker has received the order once

  # Guards against the same when an agent carries the order.
  Scenario: A start whose connection to an agent breaks leaves the run and its lease open
    Given a worker that closes the connection of the first order and refuses the next ones for lack of room
    When the leader orders a start through an agent
    Then the run is not voided
    And the worker's lease counts as possibly held for 20 s
    And the worker has received the order once

  # Guards against run ends that a restarted worker drops by a number that was meant for the one before it.
  Scenario: A poll whose connection breaks is not sent again
    Given a worker that closes the connection of the first order and refuses the next ones for lack of room
    When the leader polls it
    Then the worker has received the order once
    And the poll counts as unanswered
    And its connection doesn't count as refused

  # Guards against runs of a worker that has left that wait for its lease's end, though its process has ended.
  Scenario: A poll whose connection is refused says so
    Given a worker whose process has ended
    When the leader polls it
    Then the poll counts as unanswered
    And its connection counts as refused

  # Guards against a run that is given up by a response that tells nothing about the order, and against orders that follow a redirect.
  Scenario Outline: A response that the interface doesn't specify proves nothing
    Given a worker that responds with status <status>
    When the leader orders a start
    Then the run is not voided
    And the worker's lease counts as possibly held for 20 s
    And the worker has received the order once

    Examples:
      | status                    |
      | 202 Accepted              |
      | 307 Temporary Redirect    |
      | 500 Internal Server Error |
      | 504 Gateway Timeout       |

  # Guards against a task that waits for ever on a worker that refuses it.
  Scenario Outline: A refusal voids the only start
    Given a worker that responds with status <status>
    When the leader orders a start
    Then the run is voided

    Examples:
      | status                  |
      | 400 Bad Request         |
      | 404 Not Found           |
      | 429 Too Many Requests   |
      | 503 Service Unavailable |

  # Guards against orders that fail for a connection that the worker has closed since its last answer.
  Scenario: An idle connection that the worker closes is replaced before the next order
    Given a worker that closes each connection after its answer
    When it gets 20 orders one after the other
    Then each of them is answered over a connection of its own

  # Guards against a task that runs twice: a start that an agent holds back reaches the restarted worker after the run was given up.
  Scenario Outline: A run with an unanswered start ends with its worker only once the restarted one refuses it
    Given a worker that left a start unanswered, and <outcome> its repetition
    When the worker restarts under its name and lists no run
    Then the earlier incarnation is not over yet
    When the restarted worker confirms that it refuses the run
    Then the earlier incarnation is not over yet
    When the restarted worker lists no run any more
    Then the earlier incarnation is over

    Examples:
      | outcome     |
      | carried out |
      | refused     |

  # Guards against two runs of a task: the restarted worker began the run after its lists were read and before the order to refuse it came, and was still stopping it when the task started elsewhere.
  Scenario: A run that the restarted worker may have begun ends with the earlier one only once later lists lack it
    Given a worker that left a start unanswered, and carried out its repetition
    When the worker restarts under its name and lists no run
    And the restarted worker confirms that it refuses the run
    Then the earlier incarnation is not over yet
    When the restarted worker lists the run, which it stops
    Then the earlier incarnation is not over yet
    When the restarted worker lists no run any more
    Then the earlier incarnation is over

  # Guards against more runs than a worker has room for: a run that the restarted worker may have begun takes room there, and no list shows it.
  Scenario: A restarted worker gets no run while it may have begun one of the earlier incarnation
    Given a worker that left a start unanswered, and carried out its repetition
    When the worker restarts under its name and lists no run
    Then the restarted worker gets no new run
    When the restarted worker confirms that it refuses the run
    Then the restarted worker gets no new run
    When the restarted worker lists no run any more
    Then the restarted worker may get new runs

  # Guards against a task that runs twice: the restarted worker says that it leaves, goes on without an acknowledgement, and runs a start that was held back.
  Scenario: A run with an unanswered start doesn't end with the notice to leave of the restarted worker
    Given a worker that left a start unanswered, and carried out its repetition
    When the worker restarts under its name and lists no run
    And the restarted worker says that it leaves, and answers nothing
    Then the earlier incarnation is not over yet
    When the restarted worker's address refuses a poll
    Then the earlier incarnation is over

  # Guards against the same while the start's answer is awaited.
  Scenario: A run that was stopped before its start was answered ends with its worker only once the restarted one refuses it
    Given a worker that has stopped a run, and has not answered its start
    When the worker restarts under its name and lists no run
    Then the earlier incarnation is not over yet
    When the restarted worker confirms that it refuses the run
    Then the earlier incarnation is not over yet
    When the restarted worker lists no run any more
    Then the earlier incarnation is over

  # Guards against tasks that wait longer than needed after a crash.
  Scenario: A run whose only start was answered ends with its worker at once
    Given a worker that has carried out the start of a run
    When the worker restarts under its name and lists no run
    Then the earlier incarnation is over

  # Guards against work that is lost: a run that the worker lists is stopped as a second start of it was refused.
  Scenario: A run that is listed as running goes on when the repetition of its start is refused
    Given a worker that left a start unanswered, and whose lists show the run before it refuses the repetition
    Then no order to stop the run follows
