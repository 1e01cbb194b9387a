@split
Feature: Accepted tickets survive the loss of processes, disks, links and leaders

  Scenario: The leader is killed under a stream of tickets
    Given 3 control replicas and 2 entries
    When tickets 1 to 60 are submitted and the leader is killed amid them
    Then every ticket that was answered accepted is in the history, unchanged
    And every ticket of the history is in force on both entries
    And each ticket sent again gets its first answer

  Scenario: A replica that was cut off during many changes catches up
    Given 3 control replicas and 1 entries
    When a follower's link holds back all data while tickets 1 to 40 are accepted
    And the follower's link works again
    Then it holds every log entry of the leader

  Scenario: A leader that is cut off gives no stale answer
    Given 3 control replicas and 2 entries
    And accepted ticket 1
    When the leader's link holds back all data
    Then another replica leads and accepts ticket 2
    And the replica whose link holds back all data answers history and tickets with 503
    When the leader's link works again
    Then it follows and holds ticket 2

  Scenario: An entry that is cut off stops serving, and catches up after it returns
    Given 3 control replicas and 2 entries
    And upstreams vm-1, vm-2 and vm-3 announce pool dispatch-pool to any entry
    And ticket 1 puts pool dispatch-pool for service dispatch in force
    When entry-2's link holds back all data
    Then entry-2 fails its readiness check and answers calls not-run because no_lease
    And ticket 2 comes in force without entry-2
    And entry-1 answers calls
    When entry-2's link works again
    Then entry-2 is ready and serves by a revision not older than ticket 2

  Scenario: A call that waits when its entry is cut off is refused and not started
    Given 3 control replicas and 2 entries
    And upstreams vm-1, vm-2 and vm-3 announce pool dispatch-pool to any entry
    And ticket 1 puts pool dispatch-pool for service dispatch in force
    When 24 calls hold every slot for 4000 ms
    And a call waits at entry-2 when entry-2's link holds back all data
    Then the waiting call is refused as not-run because no_lease
    And the upstreams have run the 24 calls only

  Scenario: A restarted cluster gives the same answers as before
    Given 3 control replicas and 1 entries
    And accepted tickets 1 to 30
    When every control replica is killed and started again
    Then each ticket sent again gets its first answer
    And other content under number 7 is refused with its holder

  Scenario: Tickets older than a snapshot get the same answers after a restart
    Given 3 control replicas and 1 entries
    And a snapshot is taken every 1000 log entries
    When 1200 tickets are accepted
    Then every replica has taken a snapshot
    When every control replica is killed and started again
    Then each ticket sent again gets its first answer

  Scenario: A leader with a full disk loses leadership, and no ticket is lost
    Given 3 control replicas and 1 entries
    And accepted ticket 1
    When the data folder of the leader can't grow
    Then ticket 2 is accepted under another leader
    And the dump of that replica reports the full folder
    When the data folder can grow again
    Then the replica holds every log entry of the leader

  Scenario: With two of three disks full no ticket is accepted and none is lost
    Given 3 control replicas and 1 entries
    And accepted ticket 1
    When the data folders of two replicas can't grow
    Then ticket 2 is not accepted
    When the data folders can grow again
    Then ticket 2 is accepted when it is sent again
    And ticket 1 is in the history

  Scenario: A replica with a damaged segment ends with an error that names the offset
    Given 3 control replicas and 1 entries
    And accepted tickets 1 to 5, each held by every replica before the next
    When a follower is stopped and a byte in the middle of its segment is damaged
    Then it ends with an error that names the segment, the offset and the remedy
    And ticket 6 is accepted by the other two

  Scenario: A replica that lost its disk can't vote under its old name
    Given 3 control replicas and 1 entries
    And accepted tickets 1 to 5
    When a follower loses its disk and is formatted again under its old name
    Then the leader rejects its messages
    And after the loss of a second replica neither of the others holds a leader lease

  Scenario: A lost replica is replaced by a ticket, and another loss is tolerated
    Given 3 control replicas and 1 entries
    And accepted tickets 1 to 5
    When control-3 loses its disk for good
    And ticket 6 replaces control-3 by control-4
    Then control-1, control-2 and control-4 vote and are in step
    When control-1 is killed
    Then ticket 7 is accepted
    And every ticket that was answered accepted is in the history, unchanged

  Scenario: A change of replicas that would break the quorum is refused
    Given 3 control replicas and 1 entries
    And accepted ticket 1
    When control-3 is killed and the leader no longer counts it as in step
    Then a ticket that removes a live replica is refused as quorum_at_risk
    And a ticket that replaces two replicas is refused as quorum_at_risk
    And ticket 2 is accepted by the other two
