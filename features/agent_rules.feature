Feature: Agents carry the leader's orders in a large fleet, and send none without permission

  Scenario: Orders to one agent at the same time share a message
    Given a leader with 272 workers and agents in dc-1
    When 40 orders to workers of dc-1 are given at once
    Then each agent gets one message, and they hold 40 orders

  Scenario: The leader of a small fleet calls the workers directly
    Given a leader with 40 workers and agents in dc-1
    When 40 orders to workers of dc-1 are given at once
    Then no agent gets a message, and 40 orders are sent directly

  Scenario: The leader calls workers without an agent in their data centre directly
    Given a leader with 272 workers and agents in dc-1
    When 5 orders to workers of dc-2 are given at once
    Then no agent gets a message, and 5 orders are sent directly

  Scenario: When an agent is lost, only its workers move to others
    Given a leader with 272 workers and agents in dc-1
    When one agent goes silent
    Then only its workers are carried by others

  Scenario: An agent that leaves an order unanswered gets no further ones for a pause
    Given a leader with 272 workers and agents in dc-1
    When an agent leaves an order unanswered
    Then that order counts as possibly sent
    And the next order to that worker doesn't go through that agent

  # Guards against orders that reach an agent too late and are repeated there for ever, while their workers' leases end.
  Scenario: An agent that gets its orders too late gets no further ones for a pause
    Given a leader with 272 workers and agents in dc-1
    When an agent could not send a poll in time
    Then the next order to that worker doesn't go through that agent

  # Guards against a leader that calls a large fleet itself because all agents are late at once.
  Scenario: Late agents are not paused while half of them are
    Given a leader with 272 workers and agents in dc-1
    When all agents could not send their polls in time
    Then at least half of the agents still carry orders

  Scenario: Unanswered orders of an agent that restarts count as possibly sent
    Given a leader with 272 workers and agents in dc-1
    When an agent restarts with an order on its way
    Then that order counts as possibly sent

  Scenario: An agent that is stopping gets no new orders, and its answers count
    Given a leader with 272 workers and agents in dc-1
    When an agent withdraws with an order on its way and answers it
    Then that order counts as done
    And the next order to that worker doesn't go through that agent

  Scenario: No order goes to an agent after the leader's lease has ended
    Given a leader with 272 workers and agents in dc-1
    When the leader's lease ends and an order is given
    Then no agent gets a message, and the order counts as not sent

  Scenario: An agent sends no order from before its suspension if the permission has ended
    Given an agent with permission for 0.4 s
    When it is suspended for 0.5 s with an order that it received
    Then the order is not sent, and the leader is notified

  Scenario Outline: Permission counts from the agent's offer, however late it arrives
    Given an offer that took <delay> s to a leader whose lease has 0.4 s left
    Then the agent's permission has ended when that lease ends

    Examples:
      | delay |
      | 0.0   |
      | 0.3   |

  # Guards against a task that is started again after its success: a poll that was held back made a restarted worker drop an end of its own, up to the number of the former process's, before anybody had read it.
  Scenario Outline: A poll takes the number of a noted end to its worker only soon after the leader has sent it
    Given an offer that took <offer> s to a leader that sends a poll with a noted end <later> s later
    When the poll takes <poll> s to the agent, which is suspended for <suspended> s then
    Then the worker gets the poll <number> the number of that end

    Examples:
      | offer | later | poll | suspended | number  |
      | 0.05  | 0.5   | 0.1  | 0.0       | with    |
      | 0.05  | 0.5   | 0.4  | 0.0       | without |
      | 0.05  | 0.5   | 0.05 | 0.3       | without |

  # Guards against slow links to agents that carry a job's text once for each of its tasks.
  Scenario: A message to an agent carries a job's text once for all of its starts
    Given agents that read starts by job
    When 4 starts of a job with 1500 bytes of text and 1 of another are ordered at one worker
    Then the message takes less than 4000 bytes on its way
    And the worker gets each start once, with its job's text

  # Guards against an entry of the former version that takes such a start for one without text, or leaves it out.
  Scenario: An agent of the former version gets each start with its text
    Given agents of the former version
    When 4 starts of a job with 1500 bytes of text and 1 of another are ordered at one worker
    Then the former version reads each start in the message, with its job's text

  # Guards against a leader of the former version that can't read offers.
  Scenario: A leader of the former version reads an agent's offer
    Given agents that read starts by job
    Then the former version reads their offers

  Scenario: An agent sends no order of a former leader
    Given an agent with permission for 0.4 s
    When a newer leader's orders arrive before an older one's
    Then the older leader's order is not sent, and the leader is notified

  Scenario: Orders to an earlier process of an agent are dropped
    Given an agent with permission for 0.4 s
    When orders for its earlier process arrive
    Then nothing is sent and nothing is answered

  Scenario: An order that waits too long behind others is not sent
    Given an agent with permission for 9 s
    When more orders come for one worker than it takes in 0.4 s
    Then the orders that waited longer are not sent, and the leader is notified

  Scenario: An order that was not sent doesn't extend the worker's lease
    Given a single leader that has polled one worker
    When a start is not sent
    Then the worker's lease ends no later than before
    And the next poll grants a lease
    And the start is ordered again
