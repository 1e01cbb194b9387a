Feature: Input from outside is accepted, or refused with field and value

  Scenario: Mutated tickets, announcements and messages raise no other error
    When 3000 rounds of random input are read from seed 1
    Then some input was accepted and some was refused
