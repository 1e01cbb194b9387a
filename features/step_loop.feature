Feature: A process whose loop is late says so

  # Guards against overload that no log or metric shows.
  Scenario: Steps that hold the loop up are told in a line and counted
    Given a loop whose steps take 0.2 s
    When it runs until its second report
    Then it has told that it was at least 0.2 s late
    And every tick that was late is counted
