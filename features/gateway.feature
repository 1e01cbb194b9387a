Feature: An entry passes calls on to the leader, and says truly what became of them

  Background:
    Given an entry that knows the seeds control-1 and control-2

  Scenario: Every seed is asked until one leads
    When time passes without an answer
    Then both seeds are asked again and again
    When control-2 answers that control-3 leads
    And control-3 answers that it leads
    Then the entry is ready, and only control-3 is asked from then on

  Scenario: A call is passed to the leader, and its answer back
    Given control-1 leads
    When a job is handed in with 3 s to go
    Then it is sent to control-1
    When control-1 answers it as done
    Then the caller is told done

  Scenario: A call without an answer is sent again, also to another leader
    Given control-1 leads
    When a job is handed in with 3 s to go
    And control-1 falls silent and control-2 leads
    Then it is sent to control-2
    When control-2 answers it as done
    Then the caller is told done

  Scenario: A process that doesn't lead any more sends the call back
    Given control-1 leads
    When a job is handed in with 3 s to go
    And control-1 answers that it can't decide, and control-2 leads
    Then it is sent to control-2

  Scenario: A call that was passed on and never answered is unknown
    Given control-1 leads
    When a job is handed in with 1 s to go
    And time passes without an answer
    Then the caller is told unknown after 1 s

  Scenario: A call that was never passed on is refused, with a time to return
    When a job is handed in with 3 s to go
    And time passes without an answer
    Then the caller is told unavailable after 1 s
    And he is told when to come back

  Scenario: A caller that has gone leaves nothing behind
    Given control-1 leads
    When a job is handed in with 3 s to go
    And its caller goes
    Then nothing is sent any more, and no answer is kept

  Scenario: More calls than an entry may hold are refused at once
    When 2001 jobs are handed in with 3 s to go
    Then the last caller is told overloaded at once

  # Guards against calls that go to a former leader, by its late word, until their deadline.
  Scenario: A former leader's late word doesn't replace the leader
    Given control-1 leads
    When control-1 falls silent and control-2 leads
    And the late word comes that control-1 leads
    And a job is handed in with 3 s to go
    Then it is sent to control-2

  # Guards against a leader that every call is held back from, by a former one's refusal.
  Scenario: A refusal of a former leader doesn't drop the leader
    Given control-1 leads
    When a job is handed in with 3 s to go
    And control-1 falls silent and control-2 leads
    And control-1 answers late that it can't decide
    Then the entry is still ready

  # Guards against a job that is refused to its caller and runs.
  Scenario: A refusal of a call that was sent before doesn't say that it hasn't run
    Given control-1 leads
    When a job is handed in with 3 s to go
    And control-1 falls silent and control-2 leads
    And control-2 answers that there is no such queue
    Then the caller is told unknown
