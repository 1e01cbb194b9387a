Feature: A damaged log is set aside, and its replica joins as a new one

  Background:
    Given a data folder with votes, 40 entries, a snapshot at 20 and a rewritten tail
    And a byte of its log is damaged

  # Guards against a replica that votes under its old name with a part of its log.
  Scenario: A process that ends while it sets the log aside leaves nothing of the old replica
    When the log is set aside, and the process ends at each step of it in turn
    Then the next start is always that of a new replica without a log
    And every file of the old replica is kept

  # Guards against the only copies of a log being given up.
  Scenario Outline: A replica that has nobody to learn from refuses its damaged log
    When it starts with <settings>
    Then it is refused, and its log is where it was

    Examples:
      | settings            |
      | no seeds            |
      | itself as a seed    |
      | one voter wanted    |
