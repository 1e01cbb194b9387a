Feature: Whatever comes from outside is taken or refused with field and value

  Scenario: Mutated tickets, announcements and messages raise nothing else
    When 3000 rounds of random input are read from seed 1
    Then some input was taken and some was refused
