Feature: A reply settles only what its receiver asked for

  # Guards against a job that is acknowledged or denied by the answer to another one.
  Scenario: An answer to an entry's earlier process settles no call of the next one
    Given an entry that has passed job aa00000000000001 on to the leader
    When the entry restarts and passes job bb00000000000002 on
    And the leader's answer to the first comes
    Then the second has no answer yet
    When the leader's answer to the second comes
    Then the second is told done

  # Guards against a run that counts as started, or as refused, by the answer to another order.
  Scenario: An agent's answer to a leader's earlier process settles no order of the next one
    Given an agent that carries an order of a leader to a worker that doesn't answer yet
    When the leader restarts and gives the agent another order
    And the worker answers the first one
    Then the second order has no answer yet
    When the worker answers the second one
    Then the second order counts as done

  # Guards against keyed work that runs twice as one holder's word is taken for another's.
  Scenario: A former holder's word that it gave work up takes it from no later holder
    Given keyed work that entry-1 has given up and entry-2 runs
    When entry-3 asks entry-2 for its outcome, and a word of entry-1 comes again
    Then entry-3 doesn't ask for the claim of entry-2
    And its caller gets the answer once entry-2's work has ended

  # Guards against a running worker that is given up by a list read for an earlier lead.
  Scenario: A list of machines that an earlier lead asked for ends no life in the next one
    Given a leader that asked for the machines and then lost and regained its lead
    When it is told that worker-2 has machine-1, and worker-2 falls silent
    And the earlier list comes, in which worker-1 has machine-1
    Then worker-2 is not given up
    When the list that was asked for since comes, in which machine-1 is down
    Then worker-2 is given up

  # Guards against work that runs under the claim of other work of the same key.
  Scenario: A grant that was asked for other work of a key permits none of this one
    Given a caller who asked for a claim for a key's first work and has gone
    When another caller waits with other work under that key, and the grant comes
    Then the other caller is told that the key is used already
