Feature: Consensus rules that random fault searches seldom reach

  Scenario: A replica that hears a leader grants no vote
    Given a follower that heard the leader of term 1 just now
    When another replica with a longer log asks it for votes in term 2
    Then it refuses both votes and stays in term 1
    When the shortest election time passes and it is asked again
    Then it grants both votes

  Scenario: A restarted replica grants no vote for the shortest election time
    Given a follower that heard the leader of term 1 just now
    When it restarts from its disk
    And another replica with a longer log asks it for votes in term 2
    Then it refuses both votes and stays in term 1

  # Guards against a wait after each restart for a lease that ran out during the process's start.
  Scenario: A replica that has held its folder for the shortest election time grants votes
    Given a follower that heard the leader of term 1 just now
    When it restarts from its disk, which its new process has locked since, and the shortest election time passes
    And another replica with a longer log asks it for votes in term 2
    Then it grants both votes

  # Guards against a whole election timeout of waiting after a voter that has just restarted has refused.
  Scenario: A replica without a leader asks again soon whether it would get the votes
    Given a follower that heard the leader of term 1 just now
    When the longest election time passes and it asks for votes
    Then it asks again within two heartbeats, and its term stays 1

  # Guards against split votes while several replicas ask often.
  Scenario: A replica that would vote for another one starts no election right after
    Given a follower that heard the leader of term 1 just now
    When the longest election time passes and another replica asks whether it would vote for it
    Then it starts no election within 30 ms, and one within two heartbeats

  Scenario: A leader commits entries of earlier terms only with one of its own
    Given a leader of term 3 whose log holds uncommitted entries of term 1
    When a follower confirms the entries of term 1 only
    Then nothing is committed
    When a follower confirms the leader's own entry too
    Then all of them are committed

  Scenario: A vote survives a restart
    Given a follower that voted for control-2 in term 5
    When it restarts from its disk
    And the shortest election time passes
    Then it refuses control-3 a vote in term 5

  Scenario: A learner starts an election only after a long time without a leader
    Given a learner that heard the leader of term 1 just now
    When the longest election time passes
    Then it asks for no vote
    When five of the longest election times pass
    Then it asks every voter for a vote

  Scenario: The first leases of a new leader remove no live entry from an entry's list
    Given an entry that knows entry-1, entry-2 and entry-3
    When a new leader that has heard entry-2 only grants it a lease
    Then it still knows entry-1, entry-2 and entry-3
    When the leader knows every entry that may have a lease, entry-1 and entry-2
    Then it knows entry-1 and entry-2

  Scenario: Proposals are batched while an earlier batch is uncommitted
    Given a leader of three with an empty log
    When a proposal is flushed and 5 more follow within 10 ms
    Then 1 batch was written since
    When the first batch is acknowledged and the leader flushes
    Then 2 batches were written since, the second with 5 entries

  Scenario: An unacknowledged batch delays the next one only by the flush interval
    Given a leader of three with an empty log
    When a proposal is flushed and 5 more follow within 10 ms
    And 20 ms pass and the leader flushes
    Then 2 batches were written since, the second with 5 entries

  Scenario: A learner that lags by a few entries may become a voter
    Given a leader of three with an empty log
    When control-4 learns and lags by 20 entries
    Then it may become a voter
    When control-4 learns and lags by 100 entries
    Then it may not become a voter

  Scenario: A leader whose lease expires refuses tickets until its quorum answers again
    Given three replicas under one leader
    When nothing of its followers reaches it for 0.5 s
    Then it refuses a ticket as not leader, and still leads the same term
    When its followers reach it again for 0.3 s
    Then it accepts the ticket in the same term

  Scenario: A former leader acknowledges entries only after they are durable
    Given a leader of three that syncs in the background and has written an entry
    When the next leader asks whether it holds that entry
    Then it confirms the entry, and a crash leaves it there

  Scenario: A leader without followers commits nothing before its sync has ended
    Given a leader of one that syncs in the background and has written an entry
    Then nothing of it is committed
    When the sync ends
    Then the entry is committed

  Scenario: A sync that ends in a later term is ignored
    Given a leader of three that syncs in the background and has written an entry
    When a sync that began under an earlier term ends
    Then its log still waits for a sync

  Scenario: A leader whose sync fails steps down, and begins no sync after that
    Given a leader of three that syncs in the background and has written an entry
    When the sync fails
    Then it leads no more, and no sync is due

  # Guards against a time without a leader that a short term seems to end.
  Scenario: A term that is too short doesn't end the time without a leader
    Given a replica that has heard the leader of term 1 for 3 s
    When it hears nobody for 0.6 s, the leader of term 2 for 1 s, and nobody for 0.6 s
    Then it takes nobody to have led for 2.2 s

  # Guards against work that waits for reports as a replica that has just restarted leads.
  Scenario: A replica that has just started learns from the leader that it has led for long
    Given a replica that has just started
    When it hears the leader of term 1, which has led for long, for 1 s
    Then it takes nobody to have led for 0 s

  # Guards against messages of a leader that is gone, which a paused process handles when it goes on.
  Scenario: Messages that were held back don't show that a leader has just led
    Given a replica that has heard the leader of term 1 for 3 s
    When it is paused for 4 s, and then handles 3 s of the leader's messages at once
    Then it takes nobody to have led for 4 s

  # Guards against work that waits for reports as the same replica leads again.
  Scenario: A leader that loses its followers remembers its own term
    Given a leader of three that its followers have answered for 3 s
    When nobody answers it for 1 s
    Then it leads no more
    And it takes nobody to have led for 1 s
