Feature: An error in one part of the leader's step drops no decision of the others

  Background:
    Given a leader that has polled 4 workers
    And every worker has a machine

  # Guards against jobs that never go on as a plan without services, which is
  # valid, made the planner of pools fail.
  Scenario Outline: Jobs go on after their service was away
    When 6 jobs of 8 steps are submitted
    And their service is away for <seconds> s, <times> times
    Then every job succeeds within 30 s
    And no task was started more than once

    Examples:
      | seconds | times |
      | 25      | 1     |
      | 5       | 3     |

  # Guards against a planner that fails as operators name a service like a
  # field of the log.
  Scenario Outline: A service may have the name of a field of the log
    Given a plan with a service named <name> besides
    When 6 jobs of 8 steps are submitted
    Then every job succeeds within 30 s
    And no part of a step has failed

    Examples:
      | name  |
      | event |
      | self  |
      | at    |
      | level |

  # Guards against ends, runs and duties that are dropped with the error of
  # another part, as none of them is decided again.
  Scenario Outline: Jobs and waves go on although a part fails at each step
    Given <part> fails at each step for 5 s
    When 6 jobs of 8 steps are submitted
    And a wave over all 4 machines, 1 at once within 40 s, is accepted
    Then every job succeeds within 40 s
    And no task was started more than once
    And the wave is done within 40 s

    Examples:
      | part                           |
      | the machines' step             |
      | the plan of moves              |
      | the move of lasting tasks      |
      | the last part of an assignment |
      | the repetition of orders       |
      | the accounting of waits        |

  # Guards against decisions that are dropped as the record before them can't
  # be written.
  Scenario: A record that can't be encoded drops no other
    When 6 jobs of 8 steps are submitted
    And a record that can't be encoded is proposed each 0.1 s for 3 s
    Then every job succeeds within 30 s
    And no task was started more than once

  # Guards against a run that is never ordered as the leader didn't follow the
  # record of it.
  Scenario: A leader that couldn't follow a record ends its term
    When 6 jobs of 8 steps are submitted
    And the order of an assigned run fails once
    Then every job succeeds within 30 s, whoever leads
    And no task was started more than once
    And one term was ended by an error

  # Guards against elections without end where each leader meets the same error.
  Scenario: An error that each leader meets ends few terms
    When 6 jobs of 8 steps are submitted
    And the order of an assigned run fails each time
    And the leaders meet it for 50 s
    Then at most 5 terms were ended by an error

  # Guards against requests that stay open for good, so that no other is sent.
  Scenario: The adviser's client fails in a way that nobody expects
    Given an adviser's client that fails with ValueError
    When a request for advice is sent
    Then the next request can be sent

  # Guards against a machine that stays reserved for good.
  Scenario: The platform's client fails in a way that nobody expects
    Given a platform's client that fails with ValueError
    When a duty is sent
    Then it is counted as unanswered
