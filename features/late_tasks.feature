Feature: Logs and metrics tell what a late task waited for

  # Guards against late starts of which nobody can tell whether an answer, a slot or the worker was missing.
  Scenario Outline: A start that is confirmed late is logged with what it waited for
    Given a leader that orders the start of a run
    When the order is <outcome> at 0.6 s
    And the worker is <state> until 1.5 s
    And the start is confirmed at 2 s
    Then the late start is logged with 2 orders, <seconds>
    And the metrics sum these seconds

    Examples:
      | outcome    | state      | seconds                         |
      | unanswered | responsive | 1.9 s for order                 |
      | unsent     | responsive | 1.4 s for slot, 0.5 s for order |
      | unanswered | suspect    | 0.5 s for suspect, 1.4 s for order |

  # Guards against late ends that look like long runs.
  Scenario: An end that is listed after a lost poll is logged with the longest time that it may be old
    Given a leader that orders the start of a run
    When the start is confirmed at 0.2 s
    And a poll that was sent at 1 s is unanswered at 1.5 s
    And the end is listed at 2.2 s
    Then the late end is logged as at most 1.2 s old

  # Guards against ends that count as late by a poll before the newest lists.
  Scenario: A lost poll before the newest lists makes no end late
    Given a leader that orders the start of a run
    When the start is confirmed at 0.2 s
    And a poll that was sent at 0.4 s is unanswered at 0.9 s
    And the run is listed at 1 s
    And the end is listed at 2.2 s
    Then nothing is logged as late

  # Guards against lines for each run on days without trouble.
  Scenario: A start and an end in time are not logged
    Given a leader that orders the start of a run
    When the start is confirmed at 0.2 s
    And the end is listed at 2.2 s
    Then nothing is logged as late

  # Guards against a queue that waits while its pool has free room that nobody may use.
  Scenario Outline: A task that waits for a worker is accounted to what holds the room
    Given a leader whose pool has <pool>
    When a job of 2 tasks waits from 1 s to 3 s
    Then the metrics sum <seconds> s for <cause>

    Examples:
      | pool                                     | cause      | seconds |
      | a suspect worker with room for both      | suspect    | 4       |
      | a suspect worker with room for one       | suspect    | 2       |
      | an unanswered start that holds the room  | unresolved | 4       |
      | a machine that is arriving               | arriving   | 4       |
      | a worker that is full                    | room       | 4       |

  # Guards against a late job of which nobody can tell which of its steps waited, and for what.
  Scenario: A late job is logged with the seconds of the chain that ended last
    Given a leader that orders the start of a run of a job with an objective of 1 s
    When the order is unanswered at 0.6 s
    And the start is confirmed at 1.4 s
    And a poll that was sent at 2 s is unanswered at 2.5 s
    And the end is listed at 3 s
    Then the late job is logged with 1.3 s for order, 0.6 s for run and 1 s for poll
