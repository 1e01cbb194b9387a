Feature: A job is known by its id, whichever queue its path leads to

  # Guards against an accepted job that is called unknown, and can't be
  # cancelled, as its route has gone and another one begins its path.
  Scenario Outline: A job is shown and cancelled after its route <change>
    Given a leader with the routes <before>
    When a caller submits a job at <path>
    And the routes change to <after>
    Then the job is shown there as queued
    And submitted again there it is acknowledged and stored once
    And it is cancelled there, and shown as cancelled

    Examples:
      | change                | before         | path     | after     |
      | has gone              | /a/ and /a/b/  | /a/b/    | /a/       |
      | has gone at one level | /a/ and /a/b/c | /a/b/c   | /a/b      |
      | is split              | /a/            | /a/b/    | /a/b/     |
      | is the same           | /a/            | /a/      | /a/       |

  # Guards against calls of a former version's entries that are called unknown
  # while processes are upgraded one after the other.
  Scenario: A call without the job's id is about the job that its path names
    Given a leader with the routes /a/
    When a caller submits a job at /a/
    Then a call without its id shows it as queued

  Scenario: A job that nobody submitted is unknown
    Given a leader with the routes /a/
    Then a caller is told that there is no such job at /a/

  # Guards against a job that runs on after its cancel was answered with "no
  # such job", as it was being stored just then.
  Scenario: A cancel that arrives while its job is being stored counts
    Given a leader with the routes /a/
    When a caller cancels a job while it is being stored
    Then the cancel is acknowledged, and the job is shown as cancelled

  # Guards against a cancel that is called done although another leader may
  # still store the job.
  Scenario: A cancel of a job that may not be stored is to be tried again
    Given a leader with the routes /a/
    When a caller cancels a job while its storing fails
    Then the cancel is answered with 503
