Feature: The log tells where an operator's order spent its time

  # Guards against a configuration without an acknowledgement of which no line tells whether it arrived, and how long it was read, parsed and committed.
  Scenario: A configuration's line tells how long each stage took
    Given a replica that leads, and takes 0.3 s to commit
    When a configuration arrives whose body takes 0.2 s
    Then the line of plan_accepted gives 0.2 s for reading and 0.3 s for the commit

  # Guards against the same where the leader is lost before it has committed.
  Scenario: A configuration that isn't confirmed has a line too
    Given a replica that leads, and loses the lead after 0.3 s
    When a configuration arrives whose body takes 0.2 s
    Then the line of plan_unconfirmed gives 0.2 s for reading and 0.3 s for the commit

  # Guards against an order that reached a replica without the lead, of which no line tells that.
  Scenario Outline: An order at a replica that doesn't lead has a line
    Given a replica that follows <leader>
    When a configuration arrives whose body takes 0.2 s
    Then a line says that it was answered <status>

    Examples:
      | leader      | status |
      | another one | 307    |
      | nobody      | 503    |
