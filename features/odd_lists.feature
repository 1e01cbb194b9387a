Feature: An odd row in a list hides no other row

  # Guards against a worker that is never polled again after one odd row, and
  # against a listed run that is taken for absent and started a second time.
  Scenario Outline: An odd row in a worker's lists hides no other row
    Given a worker that lists <row> beside a run and an end
    When the worker is polled
    Then the run and the end are known
    And the lists count as <whole>

    Examples:
      | row                                             | whole      |
      | no other row                                    | complete   |
      | the run [5]                                     | incomplete |
      | the run ["nothing", 1, "", 100]                 | incomplete |
      | the run [7, 1, "", 100]                         | incomplete |
      | the run ["0123456789abcdef.0.0.²", 1, "", 100]  | incomplete |
      | the run ["0123456789abcdef.0.0.1", 10^30, "", 1] | incomplete |
      | the run ["0123456789abcdef.0.0.1", 1, 7, 100]   | incomplete |
      | the run ["0123456789abcdef.0.0.1", 1, "", 1e300] | incomplete |
      | the end [10^30, "0123456789abcdef.0.0.1", 1, "done", ""] | complete |
      | the end [9, "0123456789abcdef.0.0.²", 1, "failed", ""]   | complete |
      | the end [9, "0123456789abcdef.0.0.1", 1, "exploded", ""] | complete |
      | the end ["first"]                               | complete   |

  Scenario Outline: A worker's lists that can't be read at all count as no answer
    Given a worker that answers <answer>
    When the worker is polled
    Then the poll has no answer

    Examples:
      | answer                        |
      | lists nested too deeply       |
      | lists with a clock of 10^30   |
      | lists with a start of 10^30   |
      | bytes that aren't JSON        |

  Scenario: An answer to an order that is nested too deeply counts by its status
    Given a worker that answers lists nested too deeply
    When the worker is ordered to stop a run
    Then the order is done

  # Guards against a machine that is taken for gone, and against no list at all.
  Scenario Outline: An odd entry in the list of machines hides no other machine
    Given a machine service that lists m-1, m-2 and m-3
    When its entry for m-2 becomes <entry>
    Then m-1, m-2 and m-3 are still known, and m-1 as listed now

    Examples:
      | entry                                            |
      | 5                                                |
      | {"machine": 7, "pool": "p", "state": "up"}       |
      | {"machine": "m-2", "pool": "p", "state": "up", "capacity": {"cpu": 10^30}} |

  # Guards against tasks that run twice, as their machine is taken for down.
  Scenario Outline: An entry with a state that isn't named says nothing of its machine
    Given a machine service that lists m-1, m-2 and m-3
    When its entry for m-2 becomes <entry>
    Then m-2 is still up

    Examples:
      | entry                                               |
      | {"machine": "m-2", "pool": "p", "state": "checking"} |
      | {"machine": "m-2", "pool": "p", "state": ""}         |
      | {"machine": "m-1", "pool": "q", "state": "checking"} |

  # Guards against a wave that is called done without the upkeep of a machine
  # whose entry could never be read.
  Scenario: A machine whose entry could never be read is in the list
    Given a machine service that lists m-1 and m-3, and m-2 in an odd entry
    When it is listed twice
    Then m-2 is in an unknown state, and the others are up

  Scenario: An odd row of the adviser permits nothing and hides no other row
    Given an adviser that permits worker-1 in a row beside an odd one
    When it is asked
    Then it permits worker-1 only
