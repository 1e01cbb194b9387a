Feature: What a worker's room becomes while it runs counts wherever room counts

  Background:
    Given a leader that has polled 4 workers

  # Guards against starts by the room that a worker had when it was first seen.
  Scenario: A worker whose room has shrunk gets no more than fits
    Given worker-1 shrinks to 2000 millicores
    When a job with 26 lasting tasks is submitted
    Then all 26 of its tasks run within 5 s
    And no start brought a worker over its room

  # Guards against room that is never used again after it had shrunk.
  Scenario: A worker whose room has grown again is filled again
    Given worker-1 has restarted with 1000 millicores
    And it grows to 8000 millicores 6 s later
    When a job with 32 lasting tasks is submitted
    Then all 32 of its tasks run within 5 s

  # Guards against a new leader that places tasks by the room of a worker's first report.
  Scenario: A new leader knows the room that has shrunk before its time
    Given worker-1 shrinks to 2000 millicores
    When the leader is lost, and nobody reports for 3 s
    And a job with 26 lasting tasks is submitted
    Then all 26 of its tasks run within 5 s
    And no start brought a worker over its room

  # Guards against a chain of terms, each too short for a worker's report to be committed.
  Scenario: A leader that follows several short terms starts nothing by a room that has shrunk meanwhile
    When worker-1 shrinks to 2000 millicores, and nobody reports while each leader is lost 0.3 s after it began, for 4.5 s
    And a job with 26 lasting tasks is submitted
    Then all 26 of its tasks run within 5 s
    And no start brought a worker over its room

  # Guards against starts that wait for reports after an ordinary change of leader.
  Scenario: A leader that follows a long term starts tasks before any report
    When the leader is lost, and nobody reports for 3 s
    And a job with 32 lasting tasks is submitted
    Then all 32 of its tasks run within 1 s

  # Guards against an order that is sent again to a worker that has no room for it any more.
  Scenario: An unanswered start isn't ordered again at a worker that has shrunk
    Given a worker with a start of 6000 millicores that has no answer
    When it reports that its room is 4000 millicores
    Then the start is not ordered again, and the run is stopped there

  # Guards against a committed start that is ordered although the room has shrunk meanwhile.
  Scenario: A start that was decided before a worker shrank isn't ordered
    Given a worker with a start of 6000 millicores that is not committed
    When it reports that its room is 4000 millicores
    And the start is committed
    Then the start is not ordered, and the run is to be voided

  # Guards against shares, admission and pools that count room which is gone.
  Scenario: Shares, admission and pool sizes count the room that is left
    Given every worker has a machine
    And worker-0, worker-1, worker-2 and worker-3 shrink to 1000 millicores
    Then the backlog of service-a counts 4 cores
    And a job that takes 2000 millicores has a share of half of them
    And 8 cores of work need 9 machines of service-a

  # Guards against a record of a known incarnation that the state drops.
  Scenario: The room that a worker reports last is stored
    When the room of worker-1 is 3000, then 5000 millicores in committed records
    Then the state has 5000 millicores for it, and keeps its runs

  # Guards against a report that is acknowledged while the newest record, not committed yet, has another room.
  Scenario: A room that is as stored is recorded again if another one is on its way
    Given a worker of 8000 millicores whose report of 4000 is not committed
    When it reports that its room is 8000 millicores
    Then a record of 8000 millicores is to be committed before the acknowledgement
