Feature: Entries carry the leader's orders in a large fleet, and send nothing without permission

  Scenario: A burst's orders to one agent share a message
    Given a leader with 272 workers and agents in dc-1
    When 40 orders to workers of dc-1 are given at once
    Then each agent gets one message, and they hold 40 orders

  Scenario: A small fleet's leader calls the workers by itself
    Given a leader with 40 workers and agents in dc-1
    When 40 orders to workers of dc-1 are given at once
    Then no agent gets a message, and 40 orders are sent directly

  Scenario: Workers without an agent nearby are called by the leader
    Given a leader with 272 workers and agents in dc-1
    When 5 orders to workers of dc-2 are given at once
    Then no agent gets a message, and 5 orders are sent directly

  Scenario: One lost agent moves only its own workers to others
    Given a leader with 272 workers and agents in dc-1
    When one agent goes silent
    Then only its workers are carried by others

  Scenario: An agent that leaves an order unanswered gets no more for a while
    Given a leader with 272 workers and agents in dc-1
    When an agent leaves an order unanswered
    Then that order counts as perhaps sent
    And the next order to that worker goes another way

  Scenario: What a restarted agent carried counts as perhaps sent
    Given a leader with 272 workers and agents in dc-1
    When an agent restarts with an order on its way
    Then that order counts as perhaps sent

  Scenario: An agent that is stopping gets no new orders, and its answers count
    Given a leader with 272 workers and agents in dc-1
    When an agent withdraws with an order on its way and answers it
    Then that order counts as done
    And the next order to that worker goes another way

  Scenario: No order is handed to an agent once the leader's lease is over
    Given a leader with 272 workers and agents in dc-1
    When the leader's lease ends and an order is given
    Then no agent gets a message, and the order counts as not sent

  Scenario: An agent that was suspended sends nothing that it was given before
    Given an agent with permission for 0.4 s
    When it is suspended for 0.5 s with an order at hand
    Then the order is not sent, and the leader is told so

  Scenario Outline: Permission counts from the agent's offer, however late it arrives
    Given an offer that took <delay> s to a leader whose lease has 0.4 s left
    Then the agent's permission has ended when that lease ends

    Examples:
      | delay |
      | 0.0   |
      | 0.3   |

  Scenario: An agent sends no order of a leader that was replaced
    Given an agent with permission for 0.4 s
    When a newer leader's orders arrive before an older one's
    Then the older leader's order is not sent, and the leader is told so

  Scenario: Orders meant for an earlier process of an agent are dropped
    Given an agent with permission for 0.4 s
    When orders for its earlier process arrive
    Then nothing is sent and nothing is answered

  Scenario: An order that waits too long for its turn is not sent
    Given an agent with permission for 9 s
    When more orders come for one worker than it takes in 0.4 s
    Then the orders that waited longer are not sent, and the leader is told so

  Scenario: An order that was not sent leaves the worker's lease as it was
    Given a leader alone that has read one worker
    When a start is not sent
    Then the worker's lease is no longer open than before
    And the next look grants a lease
    And the start is ordered again
