Feature: Rules of claims whose timing real processes seldom reproduce

  # Guards against callers that are told unknown although their entry holds the claim and nothing has run.
  Scenario: A holder whose callers wait doesn't give the work up to another entry
    Given 3 callers that wait at entry-1 for the claim of a key's work
    When the claim is granted to entry-1 and entry-2 requests the outcome at once
    Then entry-2 has no response yet, and 1 of the callers runs the work
    When the work is answered
    Then entry-2 and the other callers get the answer

  # Guards against another entry that waits for work that nobody will run.
  Scenario: A holder gives the work up when its last caller has disconnected
    Given 2 callers that wait at entry-1 for the claim of a key's work
    When they disconnect after the claim is granted and entry-2 requests the outcome
    Then entry-2's response is that entry-1 gave the work up
    And entry-1 may not run the work any more
