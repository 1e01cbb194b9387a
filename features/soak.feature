@split
Feature: Separate processes keep every guarantee under overlapping faults

  Seeds of the soak test (python -m features.soak.run). A seed that has ever
  violated a guarantee is kept here, with a line on its cause.

  Scenario: A short run of the soak test violates no guarantee
    When seed 1 of the soak test is run
    Then no guarantee was violated
    And jobs were accepted, cancelled and done, and configurations acknowledged

  Scenario: Another short run of the soak test violates no guarantee
    When seed 2 of the soak test is run
    Then no guarantee was violated
    And jobs were accepted, cancelled and done, and configurations acknowledged
