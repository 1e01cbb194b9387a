@split
Feature: The programs serve the platform when run as separate processes

  Scenario: Jobs are submitted, run step by step, shown, and cancelled
    Given 3 control replicas, 2 entries and 2 workers with a configuration
    When a job of 4 and then 2 tasks is submitted at entry-1
    Then it is shown as succeeded at entry-2
    And the same job submitted again is acknowledged and starts nothing
    When a lasting job is submitted at entry-1
    And it is cancelled at entry-2 once it runs
    Then it is cancelled at entry-1, and nothing of it runs
    And entry-1 shows 0 pending jobs

  Scenario: Invalid input is refused and changes nothing
    Given 3 control replicas, 1 entries and 1 workers with a configuration
    Then entry-1 answers 404 to a job at a queue that is not there
    And entry-1 answers 400 to a job with broken JSON
    And entry-1 answers 413 to a job of 3000 bytes
    And entry-1 answers 410 when asked for a job that nobody submitted
    And control answers 400 to a configuration with an unknown service
    And control acknowledges an older configuration, and reads back the newest byte by byte

  Scenario: When the leader is killed while jobs run, no job is lost or run twice
    Given 3 control replicas, 2 entries and 3 workers with a configuration
    When the leader is lost while 10 jobs of 4 tasks are submitted
    Then every accepted job is shown as succeeded, and no task was started twice after its end

  Scenario: A replica that lost its disk rejoins without a ticket, and another may then fail
    Given 3 control replicas, 1 entries and 1 workers with a configuration
    When replica control-1 ends, loses its disk and starts again
    Then it votes under a new name, and its old name is gone
    When replica control-2 ends permanently
    Then a newer configuration is accepted

  # Guards against a replica that ends at each start for good, where one that lost its disk would rejoin.
  Scenario: A replica whose log is damaged rejoins like one that lost its disk
    Given 3 control replicas, 1 entries and 1 workers with a configuration
    When replica control-1 ends, its log is damaged and it starts again
    Then it votes under a new name, and its old name is gone
    And its damaged log is kept, and a log line names it
    When replica control-2 ends permanently
    Then a newer configuration is accepted

  # Guards against the only copy of the log being given up.
  Scenario: A replica that is alone refuses a damaged log
    Given 1 control replicas, 1 entries and 1 workers with a configuration
    When replica control-1 ends, its log is damaged and it starts again
    Then it ends with an error that names the damage, and its log is where it was

  Scenario: A replica is replaced by one at a different address
    Given 3 control replicas, 1 entries and 1 workers with a configuration
    When replica control-4 starts with an empty disk
    And replica control-3 ends permanently
    Then control-4 votes, and control-3 is gone
    When replica control-2 ends permanently
    Then a newer configuration is accepted

  Scenario: A replica with an empty disk forms no new group unless it is a first start
    Given a control replica with an empty disk whose seeds are gone
    Then it does not become leader and answers 503 for 3 s

  Scenario: A stopping entry fails its readiness check and exits with code 0
    Given 3 control replicas, 2 entries and 1 workers with a configuration
    When entry entry-1 is asked to stop
    Then it is no longer ready, still answers calls for 1 s, and ends with code 0

  Scenario: SIGHUP reloads the seeds and does not end the process
    Given 3 control replicas, 1 entries and 1 workers with a configuration
    When the seeds of entry-1 change and it gets SIGHUP
    Then it logs the new seeds and continues to answer

  Scenario: SIGHUP while a process is starting does not end it
    When a control program is started whose imports take long
    Then it ignores SIGHUP before they are done

  Scenario: Invalid settings are reported with the field and the value
    Given a control replica whose link_port is "seven"
    Then it ends with code 2 and names link_port and "seven"

  Scenario: The events of a job can be found in the logs by its id
    Given 3 control replicas, 1 entries and 1 workers with a configuration
    When a job of 1 and then 1 tasks is submitted at entry-1
    Then it is shown as succeeded at entry-1
    And the leader's log shows that it was accepted and finished, by its id
    And a trace of its id over all logs shows both events in this order
    When a job is submitted at a queue that is not there
    Then the entry's log shows the reason by its id

  # Guards against a key that still works at some entry, or again after a fault, after it was taken away.
  Scenario: A key that was taken away is refused at every entry, also at one that was paused meanwhile
    Given 3 control replicas, 3 entries and 1 workers with a configuration
    When a configuration gives first the key secret-1 and second the key secret-2
    Then every entry answers 200 to the key secret-1
    And every entry answers 401 with a challenge to no key
    When a job is submitted at entry-1 with the key secret-1
    And entry-2 is paused, called with the key secret-1, and resumed after first got the key secret-3 instead
    Then the call that waited at entry-2 was answered 401 and its job is unknown
    And every entry answers 401 with a challenge to the key secret-1
    And every entry answers 200 to the key secret-3
    And every entry answers 410 to the key secret-2
    When replica control-1 ends, loses its disk and starts again
    Then it votes under a new name, and its old name is gone
    When replica control-2 ends permanently
    Then every entry answers 401 with a challenge to the key secret-1
    And every entry answers 200 to the key secret-3
    And no log and no page of a process contains a key
