Feature: A worker that drains or is being emptied gets no start, however late or often that is sent

  # Guards against a start that is sent again to a worker long after its draining was acknowledged, so that the run is lost with the worker.
  Scenario Outline: A start without an answer isn't sent again once its worker <event>
    Given a worker that was ordered 1 starts at 0.1 s
    When its worker <event>, and the first start stays without an answer
    Then its run is stopped, and no start is sent to it any more
    And once the worker has confirmed that, the task starts on another worker

    Examples:
      | event             |
      | drains            |
      | is being emptied  |

  # Guards against a run that is stopped although its start is confirmed a moment later, while its worker goes on for seconds.
  Scenario Outline: A start that is under way as its worker <event> still counts
    Given a worker that was ordered 1 starts at 0.1 s
    When its worker <event>, and the first start is answered as its repetition is due
    Then its run is neither stopped nor sent again

    Examples:
      | event             |
      | drains            |
      | is being emptied  |

  # Guards against a first start that is sent late, as the leader had no lease or the run was committed late.
  Scenario Outline: A start that <waits> while its worker <event> is withdrawn
    Given a worker whose first start <waits>
    When its worker <event>, and the start may be sent
    Then no start is sent to it, and the task starts on another worker

    Examples:
      | waits             | event             |
      | isn't committed   | drains            |
      | waits for a lease | drains            |

  # Guards against moves and starts that hold each other up: a start that was decided just before delays the move by no more than a run that began before.
  Scenario Outline: A first start that <waits> goes out although its worker is being emptied
    Given a worker whose first start <waits>
    When its worker is being emptied, and the start may be sent
    Then the start is sent to it

    Examples:
      | waits             |
      | isn't committed   |
      | waits for a lease |

  # Guards against a new leader that repeats a former one's start on a worker that drains.
  Scenario: A new leader sends no start to a draining worker
    Given a worker that was ordered 1 starts at 0.1 s
    When its worker drains, and a new leader reads it
    Then no start is sent to it, and the task starts on another worker
