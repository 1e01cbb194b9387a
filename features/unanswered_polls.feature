Feature: Polls without an answer are repeated beside them

  # Guards against ended runs that hold their room until a lost poll times out, 0.5 s after its wait.
  Scenario: A poll whose answer is overdue is repeated without waiting
    Given a worker with a run, whose poll at 1 s waits until 2.5 s and is lost
    Then the worker isn't to be polled at 2.55 s
    And a poll that doesn't wait and grants no lease is due at 2.65 s

  # Guards against a worker that counts as silent by a poll that timed out after a later one was answered.
  Scenario: A poll that times out after a later one was answered says nothing
    Given a worker with a run, whose poll at 1 s waits until 2.5 s and is lost
    When a poll at 2.65 s is answered
    And the lost poll times out at 3 s
    Then the worker is not suspect

  # Guards against polls that wait for long while answers are lost.
  Scenario: After a lost poll the next ones wait shortly for a while
    Given a worker with a run, whose poll at 1 s waits until 2.5 s and is lost
    When a poll at 2.65 s is answered
    Then the polls from 2.7 s on wait 0.3 s
    And the polls from 7 s on wait 1.5 s

  # Guards against a lease that lapses as its renewal counts as done though it got no answer.
  Scenario: A lease grant without an answer is repeated
    Given a worker with a run, whose poll at 1 s waits until 2.5 s and is lost
    When a poll at 2.65 s is answered
    And the poll that grants a lease at 2.7 s is lost
    Then a poll that grants a lease is due at 2.85 s

  # Guards against a restarted worker that drops an end nobody has read, as a repeated poll for its former process names it.
  Scenario: A repeated poll drops no ends, though answers are being lost
    Given a worker with a run, whose poll at 1 s waits until 2.5 s and is lost
    And of which an end is noted
    When a poll at 2.65 s is answered
    And the poll that grants a lease at 2.7 s is lost
    Then the poll at 2.85 s drops no ends

  # Guards against lists that undo newer ones, which have overtaken them.
  Scenario: A list that arrives after a newer one changes no runs
    Given a worker with a run, whose poll at 1 s waits until 2.5 s and is lost
    When a poll at 2.65 s is answered with the end of the run
    And the first poll is answered after all with the run, as of 2.5 s
    Then the run isn't stopped as one that nobody has assigned
    And the worker may get other runs

  # Guards against polls that pile up at a worker that answers none.
  Scenario: At most four polls of a worker are without an answer
    Given a worker with a run, whose poll at 1 s waits until 2.5 s and is lost
    Then 3 more polls are sent until 6 s if none is answered or times out
