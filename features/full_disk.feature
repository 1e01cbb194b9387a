Feature: A replica with a full disk costs its callers at most an election

  # Guards against a silent interval of the election timeout after each full disk.
  Scenario: A leader whose disk is full hands the lead to the follower with the most entries
    Given a leader of three with an empty log
    When its disk is full and a proposal is flushed
    Then it leads no more and has no lease
    And it asked control-2 to take over

  # Guards against a lead given up for a snapshot that has no room, while the log has.
  Scenario: A leader that has no room for a snapshot keeps the lead
    Given a leader of three with an empty log
    When its disk refuses a snapshot only
    Then it leads on and reports the full disk
    When a proposal is flushed to its disk
    Then it reports no full disk any more

  # Guards against an entry or vote that is acknowledged and not on the disk.
  Scenario: A follower with a full disk acknowledges no entry and grants no vote
    Given a follower that heard the leader of term 1 just now
    When its disk is full and the leader sends another entry
    Then it answers nothing
    When the leader sends a heartbeat for what it holds
    Then it confirms what it holds
    When the shortest election time passes and control-3 asks for its vote
    Then it answers nothing
    When there is room again and the leader of a later term sends that entry
    Then it confirms the entry

  # Guards against two leases at once: a request for votes that says it was
  # asked to take over is granted although the voter hears a leader.
  Scenario: A replica that had no room to take over asks for votes like any other later
    Given a follower that heard the leader of term 1 just now
    When its disk is full and the leader asks it to take over
    Then it asks for no votes
    When there is room again and its election timeout passes
    Then it asks for votes without the right of a successor

  # Guards against a replica that stays passive for good after a failed sync.
  Scenario: A replica whose sync fails ends, and starts again from what its disk holds
    Given a running replica that is the only voter
    When every sync of its disk fails and a record is proposed
    Then its process ends with exit code 1
