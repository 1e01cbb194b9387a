Feature: An overloaded step loop logs and counts its delays

  # Guards against overload that no log or metric shows.
  Scenario: Steps that block the event loop are logged and counted
    Given a loop whose steps take 0.2 s
    When it runs until its second report
    Then it has logged that it was at least 0.2 s late
    And every tick that was late is counted
