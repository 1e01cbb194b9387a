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
