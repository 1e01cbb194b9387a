@split
Feature: Real processes keep every promise while faults overlap

  Seeds of the soak (python -m features.soak.run). Any seed that ever broke a
  promise stays here, with a line on its cause.

  Scenario: A short run of the soak breaks no promise
    When seed 1 of the soak is played
    Then no promise was broken
    And jobs were accepted, cancelled and done, and configurations acknowledged

  Scenario: Another short run of the soak breaks no promise
    When seed 2 of the soak is played
    Then no promise was broken
    And jobs were accepted, cancelled and done, and configurations acknowledged
