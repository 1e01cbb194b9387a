Feature: Repeated orders don't keep an overload going

  # Guards against a burst in which answers come late, orders are repeated
  # although they are only slow, and the repetitions delay all others.
  Scenario: A burst of starts that takes a while is repeated little
    Given a fleet of 60 workers that has just joined, and carries out 800 orders a second
    When 600 starts are ordered at once, and the leader works for 3 s
    Then at most 160 orders were sent while an earlier sending was under way
    And every start is confirmed

  # Guards against orders that are only late and are sent again up to the
  # budget, although none is missing.
  Scenario: While answers are late and none is missing, no order is repeated
    Given a fleet of 60 workers that answers after 0.2 s, and has answered 60 starts
    When it carries out 2000 orders a second, and gets 500 starts at once
    Then no order was sent while an earlier sending was under way
    And every start is confirmed

  # Guards against a new leader that spends its budget before any answer can
  # be there.
  Scenario: Before the first answers of a burst no order is repeated
    Given a fleet of 60 workers that answers after 0.2 s
    When it carries out 2000 orders a second, and gets 500 starts at once
    Then no order was sent while an earlier sending was under way
    And every start is confirmed

  # Guards against a fleet with late answers that takes each lost one for a
  # late one.
  Scenario: While answers are late and some are missing, orders are repeated
    Given a fleet of 60 workers that answers after 0.2 s, and has answered 60 starts
    When 0.1 of the answers are lost, and it gets 400 starts twice within 2 s
    Then some orders were sent while an earlier sending was under way
    And every start is confirmed

  # Guards against workers that have just joined, whose orders are repeated
  # before any answer could be there.
  Scenario: A worker without answers is repeated at the time that the fleet takes
    Given a fleet of 60 workers that answers after 0.3 s, and has answered 60 starts
    When a worker joins and gets 4 starts
    Then none of them is sent again within 0.28 s

  # Guards against lost answers that cost the timeout of an order each.
  Scenario Outline: Starts whose answers are lost are repeated soon
    Given a fleet of 60 workers of which <lost> of the answers are lost
    When 600 starts are ordered at once, and the leader works for 3 s
    Then <share> of 100 starts are confirmed within <seconds> s

    Examples:
      | lost | share | seconds |
      | 0.1  | 98    | 0.25    |
      | 0.5  | 80    | 0.35    |

  # Guards against repetitions that wait behind their first sending and are
  # sent right after it.
  Scenario: An order that waits for a slot isn't queued again
    Given a worker whose slots are held by 4 orders without an answer
    When a start is sent to it twice
    Then the second one counts as unsent at once
    And the worker gets the start once

  # Guards against workers that wait for the slow link of one agent while
  # others are idle.
  Scenario: A worker's orders are spread when its agent has much to send
    Given a worker with 6 agents in its data centre
    When 12 starts of 4000 bytes are sent to it at once
    Then its usual agent gets 3 of them, and two others the rest
    When they are answered and another one is sent
    Then its usual agent gets that one
