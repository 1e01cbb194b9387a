Feature: A data folder returns all synced data, and refuses to load damaged data

  Background:
    Given a data folder with votes, 40 entries, a snapshot at 20 and a rewritten tail

  Scenario: Synced data is read back
    When the folder is opened again
    Then it holds the vote, the snapshot and the entries

  Scenario: A torn tail is cut at every length
    When the newest segment is cut at each length of its last frame
    Then each opening holds every entry but those of the last frame

  Scenario: A damaged byte before intact records is refused at every offset
    When each byte before the last frame of the newest segment is damaged in turn
    Then each opening is refused with the file, an offset and the remedy

  # Guards against a replica that can't start again: a power loss that kept a later unsynced write and lost an earlier one was taken for damage in synced data.
  Scenario: A power loss that loses the first of two unsynced writes leaves what was synced before
    When two entries are written without a sync, and a power loss keeps only the second
    Then it holds the vote, the snapshot and the entries

  Scenario: A power loss that loses two of five unsynced writes leaves what was before the first of them
    When five entries are written without a sync, and a power loss loses the second and the fourth
    Then the last entry that it holds is 41
    And another entry 42 is read back, and nothing behind it

  # Guards against synced entries that are cut as if they had never been acknowledged.
  Scenario: Damage is refused where a later record tells that it was synced, and cut behind that
    When an entry is written and synced, a second and a third one are written, and the first is lost
    Then the opening is refused at what was lost
    When an entry is written and synced, a second and a third one are written, and the second is lost
    Then the last entry that it holds is 41

  # Guards against a vote that is lost with earlier writes, which were synced with it and damaged later.
  Scenario: Damage among the last writes is refused if they were synced together
    When two entries are written without a sync, a vote is saved, and the first entry is lost
    Then the opening is refused at what was lost
    When two entries are written, a sync of both ends and is told, and the first entry is lost
    Then the opening is refused at what was lost

  # Guards against a write after each sync of a log whose records are synced one by one.
  Scenario: Records that are synced one by one cost no further writes
    When five entries are appended, and as many written and synced one by one
    Then the segment holds ten records more

  # Guards against a full disk that takes back the acknowledgement of a vote.
  Scenario: A full disk that has no room to tell what was synced leaves the writes acknowledged
    When two entries are written, and a vote is saved in the last room of the folder
    Then the vote is acknowledged, and read back with the entries

  # Guards against a sync that counts for writes after its beginning.
  Scenario: A sync covers what was written before it began
    When a sync begins between two writes and ends after them, a third entry is written, and the first is lost
    Then the opening is refused at what was lost
    When a sync begins between two writes and ends after them, a third entry is written, and the second is lost
    Then the last entry that it holds is 41

  # Guards against a sync of a former segment that counts for the present one.
  Scenario: A sync that ends after a snapshot covers nothing of the next segment
    When a sync begins, a snapshot at 80 starts another segment, the sync ends, two entries are written, and the first is lost
    Then it holds the snapshot at 80 and no entries

  Scenario: Syncs run on another thread while entries are written
    When entries are written while syncs run on another thread
    Then damage of what a sync covered is refused, and any later one is cut

  # Guards against synced records of the former version, which don't tell what was synced, that are cut.
  Scenario: A segment of the former version is read, and damage before intact records of it is refused
    Given that the former version wrote the folder
    When the folder is opened again
    Then it holds the vote, the snapshot and the entries
    When each byte before the last frame of the newest segment is damaged in turn
    Then each opening is refused with the file, an offset and the remedy
    When a damaged byte in the last record of a former version is followed by two records of this one
    Then the opening is refused at what was lost
    When the former version writes two entries without a sync, and a power loss keeps only the second
    Then the opening is refused at what was lost

  # Guards against a return to the former version that cuts what this one has written.
  Scenario: The former version reads the records of this one
    Then the former version reads every entry that this one writes

  # Guards against a gap between a snapshot's segment and an earlier one whose unsynced end was lost.
  Scenario: Power losses at random take nothing that was synced
    When 100 folders lose power at random several times
    Then each opening holds all that was synced, and no write behind a lost one

  Scenario: A damaged snapshot is refused
    When a byte of the snapshot is damaged
    Then the opening is refused with the file, an offset and the remedy

  Scenario: A crash between the steps of a snapshot loses nothing
    When a snapshot at 30 is saved and each step of it is cut short in turn
    Then each opening holds entries 31 to 40 and a state up to 30

  Scenario: A snapshot of a leader replaces entries that conflict with it
    When a snapshot at 50 with no tail is saved and the old segment stays behind
    Then the opening holds the snapshot at 50 and no entries

  Scenario: Two processes do not share a folder
    When the folder is opened while it is open
    Then the second opening says that another process uses it

  # Guards against votes that a restarted replica withholds for longer than its former process's answers bind it.
  Scenario: A lock that was taken early is the folder's lock from then on
    Given a folder that a process locks early
    Then another process can't lock it
    When the process opens the folder
    Then the folder counts as locked since the early lock, until it is closed

  Scenario: A full disk fails an append, which succeeds once there is space again
    When the folder can't grow and an entry is appended
    Then the append is refused because the folder is full
    When the folder can grow and the same entry is appended
    Then the entry is read back once

  # Guards against a damaged middle of the segment: frames after a failed sync
  # would follow pages that the kernel dropped.
  Scenario: A sync that fails for lack of space ends all writes until the folder is reopened
    When an entry is appended and its sync fails for lack of space
    Then the append is refused and the next one too
    And every acknowledged entry is read back when the folder is opened anew

  # Guards against a segment that was left behind half started: entries that
  # are appended to the old one would be replaced by its copy of the log.
  Scenario: A full disk fails each step of a snapshot, and nothing is lost
    When the disk is full at each step of a snapshot in turn and an entry is appended after it
    Then each opening holds every entry and the newest vote
    And a snapshot succeeds once there is space again
