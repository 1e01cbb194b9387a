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

  # Guards against callers that are told unknown because their entry asked the holder before the leader's verdict reached it.
  Scenario: A holder that hasn't heard of its claim yet keeps requests for the outcome
    Given 3 callers that wait at entry-1 for the claim of a key's work
    When entry-2 requests the outcome before the claim is granted to entry-1
    Then entry-2 has no response yet, and 1 of the callers runs the work
    When the work is answered
    Then entry-2 and the other callers get the answer

  # Guards against work whose outcome is unknown for ever because the verdict on its claim was lost or came late.
  Scenario: A process that learns late that it holds a claim gives the work up
    Given 2 callers that wait at entry-1 for the claim of a key's work
    When they disconnect, entry-2 requests the outcome, and the claim is granted to entry-1
    Then entry-2's response is that entry-1 gave the work up
    And entry-1 may not run the work any more

  # Guards against requests that wait for a claim that the process doesn't hold.
  Scenario: A process whose claim was refused answers requests for the outcome with unknown
    Given 2 callers that wait at entry-1 for the claim of a key's work
    When they disconnect, entry-2 requests the outcome, and the claim is held by entry-3
    Then entry-2's response is that the outcome is unknown

  # Guards against callers that are told unknown while another caller's work of their key runs.
  Scenario: Of several callers whose work was refused, one runs it and the others wait
    Given 4 callers that wait at entry-1 for the claim of a key's work
    And the claim is granted to entry-1 and one of them runs the work
    When the work is refused without running
    Then 1 of the callers runs the work, and the others still wait
    When the work is answered
    Then the other callers get the answer

  # Guards against callers that are told unknown because their entry's list of entries is older than the holder's lease.
  Scenario: A holder that isn't in an old list of entries is looked for in the next one
    Given entry-1 with a list of live entries that lacks entry-2
    And 1 callers that wait at entry-1 for the claim of a key's work
    When the claim turns out to be held by entry-2
    Then entry-1 requests no outcome, and its caller still waits
    When a newer incomplete list without entry-2 arrives
    Then entry-1 requests no outcome, and its caller still waits
    When a newer complete list with entry-2 arrives
    Then entry-1 requests the outcome from entry-2
    When entry-2 responds with the answer
    Then the other callers get the answer

  # Guards against callers that wait until their deadline for a holder that is gone.
  Scenario: The outcome is unknown once a newer list lacks the holder
    Given entry-1 with a list of live entries that lacks entry-2
    And 1 callers that wait at entry-1 for the claim of a key's work
    When the claim turns out to be held by entry-2
    And a newer complete list without entry-2 arrives
    Then the caller is told that the outcome is unknown

  # Guards against callers that are told unknown while another entry takes over the work that their entry gave up.
  Scenario: A caller at an entry that gave the work up waits for the entry that takes it over
    Given entry-1 holds the claim of a key's work and has given it up to entry-2
    And 1 callers that wait at entry-1 for the claim of a key's work
    When the claim is granted to entry-1 again, as entry-2's request is on its way
    Then entry-1 requests the claim again, and its caller still waits
    When the claim turns out to be held by entry-2
    And a newer complete list with entry-2 arrives
    Then entry-1 requests the outcome from entry-2
    When entry-2 responds with the answer
    Then the other callers get the answer
