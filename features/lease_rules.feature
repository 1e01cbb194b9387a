Feature: Rules of leases that need a moment hard to hit

  Scenario: An entry that starts long after the first leader gets a lease
    Given a leader without any ticket for 3 s
    When an entry that has applied nothing reports
    Then it is granted a lease

  Scenario: An entry that lacks a record that entries follow gets the feed first
    Given a leader without any ticket for 3 s
    When a ticket is accepted
    And an entry that has applied nothing reports
    Then it is sent the feed and granted no lease

  Scenario: A worker that a new leader has just read keeps the lease of the former one
    Given a worker that a new leader reads at 100 s, and grants nothing yet
    When it answers nothing from then on
    Then its lease is not over before 104 s, and is over by 104.2 s
