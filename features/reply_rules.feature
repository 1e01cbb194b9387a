Feature: A reply completes only the request that it belongs to

  # Guards against a job that is acknowledged or refused by the answer to another job.
  Scenario: An answer to an entry's earlier process completes no call of the next process
    Given an entry that has forwarded job aa00000000000001 to the leader
    When the entry restarts and forwards job bb00000000000002
    And the leader's answer to the first job arrives
    Then the second job has no answer yet
    When the leader's answer to the second job arrives
    Then the second job is answered as done

  # Guards against a run that counts as started or refused because of the answer to another order.
  Scenario: An agent's answer to a leader's earlier process completes no order of the next process
    Given an agent that has sent a leader's order to a worker that doesn't answer yet
    When the leader restarts and sends the agent another order
    And the worker answers the first order
    Then the second order has no answer yet
    When the worker answers the second order
    Then the second order counts as done

  # Guards against keyed work that runs twice because one holder's response is taken for another's.
  Scenario: An earlier holder's late response that it gave work up doesn't release the present holder's claim
    Given keyed work that entry-1 has given up and entry-2 runs
    When entry-3 requests the outcome from entry-2, and an earlier response of entry-1 arrives
    Then entry-3 doesn't request the claim of entry-2
    And its caller gets the answer once entry-2's work has ended

  # Guards against a running worker that is declared over by a list requested in an earlier term.
  Scenario: A list of machines requested in an earlier term declares no worker over in the next term
    Given a leader that requested the machines and then lost and regained leadership
    When a new list shows worker-2 on machine-1, and worker-2 becomes silent
    And the earlier list arrives, with worker-1 on machine-1
    Then worker-2 is not declared over
    When the list requested since then arrives, with machine-1 down
    Then worker-2 is declared over

  # Guards against work that runs under a claim for other work with the same key.
  Scenario: A claim granted for other work of a key doesn't permit this work
    Given a caller that requested a claim for a key's work and disconnected
    When another caller waits with other work under that key, and the claim is granted
    Then the other caller is refused because the key is used already
