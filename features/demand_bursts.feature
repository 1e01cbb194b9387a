@split
Feature: Pools follow demand that bursts in one queue after another

  The queues burst one after another. In its burst of nine seconds a queue gets
  about four times its mean rate of work, and otherwise a twentieth of it. Days
  are drawn at random from a seed and simulated with the real scheduling code
  under a virtual clock. A day here is one simulated run of less than a minute.
  A job earns its value if it meets its objective, 7% of it up to three times
  the objective, and nothing after that. The target is 0.95 of all the value.

  Scenario: Without surges nearly all work is in time, with few machines
    Given 3 random days of 50 s without surges
    Then at least 0.95 of the value of each day is earned in time
    And no more is earned with machines that never move

  Scenario: While there are too few machines, work that can be in time goes first
    Given 3 random days of 50 s with surges, a third fewer machines and none in standby
    Then more is earned than by serving the oldest objective first

  Scenario: A pool that a surge has emptied gets its reserve back before its burst
    Given a random day in which the first queue's surge takes every machine
    Then the second pool has 5 machines before its burst begins

  Scenario: A pool whose burst has just ended keeps only what its lasting tasks need
    Given a random day of 34 s without surges
    Then the first pool has 2 machines 6 s after its burst

  Scenario: A new leader rebuilds its predecessor's prediction of bursts
    Given a random day of 34 s without surges
    When another leader takes over 20 s after the first job
    Then it expects the same pool's burst next as its predecessor did

  Scenario: A wave is in time though lasting tasks have to move and surges take every machine
    Given a random day with surges and 24 lasting tasks in each queue
    When a wave over 24 machines, 9 at once within 26 s, is accepted 1 s after the first job
    Then all its machines have begun their upkeep within 26 s

  Scenario: Standby machines delay a wave by no more than the time of their upkeep
    Given a random day of 34 s with 10 lasting tasks in each queue
    When a wave over 24 machines, 9 at once within 26 s, is accepted 1 s after the first job
    Then all its machines have begun their upkeep within 26 s, on each of 3 days

  Scenario: A fleet four times as large serves its first burst
    Given a random day of 12 s of a fleet four times as large
    Then at least 0.95 of the value of each day is earned in time

  # Guards against pools that are emptied into standby before their first
  # burst, or at its onset, and start it with a fifth of what it needs.
  Scenario: A pool keeps the machines that it was given until its first burst
    Given a random day of a fleet four times as large
    When its first burst has lasted 0.8 s
    Then the first pool has had all its machines throughout

  # Guards against a first burst that takes the next pool's machines only.
  Scenario: A short pool takes machines from the largest reserves
    Given a random day of a fleet four times as large
    When its first burst has lasted 8.9 s
    Then the other pools' sizes differ by no more than 8 machines

  # Guards against a burst's onset that, as its first jobs happen to be large,
  # takes several times the machines that the burst needs from other pools.
  Scenario: A few large jobs at a burst's onset aren't taken for its size
    Given a queue with 20 jobs a second of 10 core-seconds each
    When the jobs of 0.4 s come with 50 core-seconds each
    Then its new work keeps no more than 500 cores in use

  Scenario: A full pool is not searched again for each waiting step
    Given a leader whose workers are full and 200 waiting steps
    When it plans once more
    Then it has checked no worker for room

  Scenario: In a large fleet a few jobs are not taken for a burst, and the pool keeps its reserve
    Given a random day of a fleet four times as large, just before its third burst
    Then the third pool has 14 machines, as it has not had its burst

  Scenario: Machines arrive before a burst that is predicted from two earlier ones
    Given a random day of a fleet four times as large, just before its third burst
    Then the third pool has 36 machines, as its burst is expected
    And at least 0.95 of the third queue's value is earned in time

  Scenario: Work that is already late loses its machines to work that can be in time
    Given a random day in which the second queue needs three times the fleet in its burst
    Then the fourth queue earns 0.5 of its value, though the second has a backlog

  Scenario: A queue with a steady load is expected to burst only in the first burst cycle
    Given queues alpha and beta that burst alternately every 6 s, and gamma with a steady load
    Then after 2 bursts gamma is expected next
    And after 4 bursts alpha is expected next, and after 5 beta
