Feature: A worker's lease counts what orders to its former processes may still grant

  # Guards against a task that runs twice: a start that was meant for a former process comes late, and extends the lease of a later one, which is cut off then and taken for over too early.
  Scenario: A worker that is cut off isn't over before the lease has ended that a late start may have granted
    Given a worker of which a start at 0.1 s gets no answer
    When the worker restarts, and reports at 1.0 s
    And the worker works on until 10.0 s
    And a late order extends its lease by 10 s, and it is cut off
    Then it isn't over before that lease has ended

  # Guards against the same for a poll, which grants a lease too.
  Scenario: A worker that is cut off isn't over before the lease has ended that a late poll may have granted
    Given a worker of which a poll at 1.4 s that grants a lease gets no answer
    When the worker restarts, and reports at 2.0 s
    And the worker works on until 11.0 s
    And a late order extends its lease by 10 s, and it is cut off
    Then it isn't over before that lease has ended

  # Guards against a task that runs twice: the next process answers an order to the former one, so that nothing seems open, and holds the lease that it grants by the former one's clock.
  Scenario Outline: A worker that is cut off isn't over before the lease has ended that it took by an order to its former process
    Given a worker of which <order> is answered by its next process
    When the worker restarts, and reports at 2.0 s
    And it works on with a clock that doesn't begin at zero until 5.0 s
    And it is cut off
    Then it isn't over before the longest lease since that answer has ended

    Examples:
      | order                                  |
      | a poll that grants a lease             |
      | a repeated start, as that of an old run |

  # Guards against a task that runs twice: the former leader's orders to the worker's former process granted its next one a long lease, and the new leader knows of none.
  Scenario Outline: A new leader counts the longest lease of a worker that restarted a short time ago
    Given a worker that works from 0.1 s on
    When the worker restarts, and the leader knows at 1.0 s
    And at 2.0 s <replica> takes over
    And it works on with a clock that doesn't begin at zero until 4.0 s
    And it is cut off
    Then it isn't over before the longest lease since then has ended

    Examples:
      | replica                                   |
      | a replica that has followed the log       |
      | a replica that has just loaded a snapshot |

  # Guards against tasks that wait for 6 s more than they need to after a change of leader.
  Scenario: A new leader counts the usual lease of a worker that restarted long ago
    Given a worker that works from 0.1 s on
    When the worker restarts, and the leader knows at 1.0 s
    And at 30.0 s a replica that has followed the log takes over
    And it works on with a clock that doesn't begin at zero until 32.0 s
    And it is cut off
    Then it is over within 5 s

  Scenario Outline: A new leader counts the usual lease of a worker that hasn't restarted
    Given a worker that works from 0.1 s on
    When at 2.0 s <replica> takes over
    And it works on with a clock that doesn't begin at zero until 4.0 s
    And it is cut off
    Then it is over within 5 s

    Examples:
      | replica                                   |
      | a replica that has followed the log       |
      | a replica that has just loaded a snapshot |
