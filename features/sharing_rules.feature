Feature: Filling tasks are paced by the tail latency of serving tasks on the same worker

  Background:
    Given a worker with a serving task of target 100 ms and a filling task

  Scenario: A filling task starts at a low pace
    When the serving task's tail latency is reported as 20 ms
    Then the filling task is paced to 30 percent

  Scenario: Its pace rises while the tail latency is well below the target
    When the serving task's tail latency is reported as 20 ms, 9 times
    Then the filling task is paced to 100 percent

  Scenario: It is slowed down near the target, and paused above it
    When the serving task's tail latency is reported as 20 ms, 5 times
    And the serving task's tail latency is reported as 95 ms
    Then the filling task is paced to 35 percent
    When the serving task's tail latency is reported as 130 ms
    Then the filling task is paced to 0 percent

  Scenario: Between the two thresholds it keeps its pace
    When the serving task's tail latency is reported as 20 ms, 3 times
    And the serving task's tail latency is reported as 80 ms, 5 times
    Then the filling task is paced to 50 percent

  Scenario: An unanswered order to pace is sent again
    When the serving task's tail latency is reported as 20 ms
    And the order to pace gets no answer
    And the serving task's tail latency is reported as 20 ms
    Then the filling task is paced to 30 percent

  # Guards against a filling task that goes on at an outdated pace, as an unanswered order takes effect after newer ones.
  Scenario: While an unanswered order to pace may take effect, the pace is ordered with each poll
    When the serving task's tail latency is reported as 20 ms
    And the order to pace gets no answer
    And the serving task's tail latency is reported as 130 ms, 3 times
    And the serving task's tail latency is reported as 130 ms
    Then the filling task is paced to 0 percent
    When the serving task's tail latency is reported as 130 ms, 40 times
    And the serving task's tail latency is reported as 130 ms
    Then the filling task's pace is not ordered

  # Guards against a pace that stays in effect although a newer one was answered first.
  Scenario: After answers to two orders to pace in reverse order, the pace is ordered again once
    When the serving task's tail latency is reported as 20 ms
    And the serving task's tail latency is reported as 20 ms
    And the orders to pace are answered, the newest first
    And the serving task's tail latency is reported as 80 ms
    Then the filling task is paced to 40 percent
    When the serving task's tail latency is reported as 80 ms
    Then the filling task's pace is not ordered

  Scenario: Without a serving task it runs at full pace
    When the serving task has ended
    Then the filling task is paced to 100 percent

  Scenario: A jump of the time of day is accepted only if it lasts
    Given a clock that follows the time of day
    When the time of day jumps ahead by 5000 ms for 10 s
    Then the time read has not jumped
    When the time of day jumps ahead by 5000 ms for 40 s
    Then the time read has jumped by 5000 ms
