Feature: After a return of the whole system, callers are served again at once

  # Guards against elections that wait for a leader's lease that nobody holds, and for replicas that have restarted.
  Scenario: All control machines return at once, and one leads in time for the first answer
    Given a system of three control replicas that serves
    When all of them lose power for 1.4 s, and serve 0.6 s to 0.9 s after their return
    Then in each of 40 such returns a leader has its lease within 1.2 s of the return

  # Guards against moves that a new leader decides before any demand is known.
  Scenario: A new leader takes no machine from a pool in its first second
    Given a random day in whose second burst the system has no leader for 3 s
    Then in the first second of the new leader machines move only from standby

  # Guards against machines that a new leader orders a second time, as it doesn't count those on their way.
  Scenario: A new leader counts the machines that its predecessor has moved
    Given a random day in whose first burst a leader is lost while 3 machines move
    Then the new leader's first plan counts them as on their way

  # Guards against pools that were emptied while nothing could be submitted, and against a backlog that blocks new work.
  Scenario: From 4 s after its return the system serves nearly all work in time
    Given a random day in whose second burst the system has no leader for 3 s
    Then from 4 s after the return each window of 2 s earns 0.9 of its value in time

  # Guards against rates that have decayed while nothing could be submitted.
  Scenario: A new leader keeps the rates of new work that its predecessor had learnt
    Given 100 cores of new work a second for 10 s
    When nothing is accepted for 3 s before a new leader's term
    Then it expects as many cores of new work as before, within 1 in 100

  # Guards against a demand that ended long ago.
  Scenario: A new leader forgets the rates of work that ended long ago
    Given 100 cores of new work a second for 10 s
    When nothing is accepted for 30 s before a new leader's term
    Then it expects less than 1 core of new work
