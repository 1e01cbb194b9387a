Feature: Starts that are carried out late run beside no other run of their task

  # Guards against two runs of a task of which no line tells that a sending of the first was made.
  Scenario Outline: A start that was sent and isn't confirmed is logged
    Given a worker whose answer to a start is <outcome>
    When the start is sent
    Then <lines> lines say that it isn't confirmed, with run, incarnation, fence and outcome

    Examples:
      | outcome     | lines |
      | no answer   | 1     |
      | a failure   | 1     |
      | a refusal   | 1     |
      | done        | 0     |

  # Guards against a live worker that was declared over, and no line tells that it goes on.
  Scenario: A worker that reports after it was declared over is logged
    Given a worker that was ordered 1 starts at 0.1 s
    When it is declared over for a move at 0.2 s
    And it reports at 0.7 s
    Then a line says that it is seen again 0.5 s after its end for a move

  # Guards against a voided run of which no line tells whether a sending of it was open.
  Scenario: A voided run's line tells which sendings were open
    Given a worker that was ordered 1 starts at 0.1 s
    When its run is voided after a refused repetition and a stop
    Then the line of the voided run gives 1 start under way

  # Guards against stray runs of which no line tells how they left the leader's view.
  Scenario: A stray run's line tells how it left the view
    Given a worker that was ordered 1 starts at 0.1 s
    When its run is voided after a refused repetition and a stop
    And it lists the voided run as running
    Then the line of the stray run says that it was voided as absent
