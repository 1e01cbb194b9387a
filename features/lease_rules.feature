Feature: Rules of leases whose timing real processes seldom reproduce

  Scenario: An entry that starts long after the leader was elected gets a lease
    Given a leader without any ticket for 3 s
    When an entry that has applied nothing reports
    Then it is granted a lease

  Scenario: An entry that lacks a record of the feed gets the feed before a lease
    Given a leader without any ticket for 3 s
    When a ticket is accepted
    And an entry that has applied nothing reports
    Then it is sent the feed and granted no lease

  Scenario: A worker that a new leader has just polled keeps its lease from the former one
    Given a worker that a new leader polls at 100 s, and grants nothing yet
    When it answers nothing from then on
    Then its lease lasts until 104 s, and has expired by 104.2 s
