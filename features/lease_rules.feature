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
