Feature: Polls that are carried out late drop no end that nobody has read

  # Guards against a task that is started again after its success: a poll of a former process, unanswered and carried out late, makes a later process under its name drop an end of its own, up to the number of the former's.
  Scenario: A task that is done on a restarted worker isn't started again when a poll of the former process comes late
    Given a worker with a poll at 0.2 s that takes the number of its end 7 and gets no answer
    When the worker restarts, and reports at 1.0 s
    And a new task is handed in, and the worker works until 2.5 s
    And its runs of that task end done, and then the late poll is carried out
    And the worker works until 20.0 s
    Then the new task was started, and not again after its end was dropped

  # Guards against the same after a second restart: what was meant for any earlier process counts.
  Scenario: A task that is done on a worker that has restarted twice isn't started again when a poll of the first process comes late
    Given a worker with a poll at 0.2 s that takes the number of its end 7 and gets no answer
    When the worker restarts, and reports at 1.0 s
    And the worker restarts again, and reports at 2.0 s
    And a new task is handed in, and the worker works until 3.5 s
    And its runs of that task end done, and then the late poll is carried out
    And the worker works until 20.0 s
    Then the new task was started, and not again after its end was dropped

  # Guards against a worker that refuses every order for good: an earlier process becomes known after the later one, and orders meant for it give whoever has the name a higher fence.
  Scenario: A process that becomes known after its successor gets no higher fence
    Given a worker that has restarted, and whose process in between is seen after that
    Then the orders to its processes have fences that never fall
    And a new leader's fences are above them all
