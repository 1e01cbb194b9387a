@split
Feature: Tickets are checked, numbered once and answered the same on every resend

  Background:
    Given 1 control replica without entries
    And accepted ticket 10 of operator-a with pool dispatch-pool holding vm-1 and vm-2

  Scenario Outline: A ticket with <fault> is refused and changes nothing
    When a ticket with <fault> is submitted over HTTP
    Then it is refused with status <status> and names <field> and <value>
    And the history holds just ticket 10

    Examples: fails input validation
      | fault                     | status | field                     | value        |
      | a text as number          | 400    | number                    | eleven       |
      | number zero               | 400    | number                    | 0            |
      | no author                 | 400    | author                    | reason       |
      | a blank reason            | 400    | reason                    | 1 character  |
      | nothing to touch          | 400    | (whole input)             | number       |
      | an unknown field          | 400    | colour                    | red          |
      | a negative budget         | 400    | budgets.0.min_available_vms | -1         |
      | one VM in two pools       | 400    | (whole input)             | vm-7         |
      | a pool named twice        | 400    | (whole input)             | twin         |
      | a VM named twice          | 400    | pools.0.vms               | vm-7         |
      | a wave of nothing         | 400    | waves.0                   | empty        |
      | an unknown wave intent    | 400    | waves.0.intent            | sideways     |
      | a wave of 0 at once       | 400    | waves.0.max_parallel_vms  | 0            |
      | broken JSON               | 400    | (whole input)             | number       |
      | a list in place of a ticket | 400  | (whole input)             | 1, 2         |
      | 1 MB of junk              | 413    | body                      | 1200000      |
      | 900 kB of junk            | 400    | (whole input)             | zzzz         |

    Examples: conflicts with the current state
      | fault                     | status | field                     | value        |
      | an unknown pool in a wave | 409    | waves.spring.pools        | nowhere-pool |
      | an unknown VM in a wave   | 409    | waves.spring.vms          | vm-99        |
      | an unseen rack in a wave  | 409    | waves.spring.racks        | rack-99      |
      | a VM of another pool      | 409    | pools.vms                 | vm-2         |
      | a budget of no service    | 409    | budgets.service           | nowhere      |
      | a budget above the pool   | 409    | budgets.dispatch.min_available_vms | 3   |
      | the number of ticket 10   | 409    | number                    | 10           |
      | an older number           | 409    | number                    | 9            |

  Scenario: The refusal of a number in use names the author of its ticket
    When operator-b submits other content under number 10
    Then the refusal names operator-a as holder

  Scenario: The same ticket sent again gets the first answer
    When ticket 10 is submitted again with its fields in another order
    Then the answer is the first one, with the same revision and time

  Scenario: Of several operators who submit one number at once, one is accepted
    When 12 operators submit different content under number 11 at once
    Then one of them is accepted and the others learn who holds the number
    And each of them gets the same answer when it sends its ticket again

  Scenario: The command line checks, submits, waits and shows
    Given a ticket file for number 12 with pool archive-pool
    When the operator runs check on the file
    Then the output says that ticket 12 would be accepted
    When the operator runs submit on the file
    And the operator runs wait 12
    Then the output shows ticket 12 in force
    When the operator runs submit on the file with --json
    Then the output is JSON with number 12
    When the operator runs history
    Then the output lists tickets 10 and 12
    When the operator runs dump of the replica
    Then the output is JSON with role leader

  Scenario: The command line names the field of a bad ticket and sends nothing
    Given a ticket file with a negative budget
    When the operator runs submit on the file
    Then the command ends with exit code 2 and names budgets.0.min_available_vms

  Scenario: The command line finds the control replica that answers
    Given a ticket file for number 12 with pool archive-pool
    When the operator runs submit with a dead address before the live one
    Then the output shows ticket 12

  Scenario: A ticket whose answer was lost can be sent again safely
    Given a ticket file for number 12 with pool archive-pool
    When the answer to the first submission of the file is cut
    Then the operator's program still shows ticket 12 accepted
    And ticket 12 stands in the history once
