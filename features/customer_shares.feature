@split
Feature: One customer's flood of jobs waits behind what the others may send

  Twenty customers, a few of them large, share queues that burst one after
  another. A customer's weight is the number of jobs a second that are owed to
  it; what it sends beyond that waits behind all that is owed. Days are drawn
  at random from a seed and simulated with the real scheduling code under a
  virtual clock. The target is 0.9 of the value for the worst-served customers.

  # Load: the largest customer sends seven times its usual into a shared queue.
  Scenario: A flood into a shared queue costs the other customers nothing
    Given 3 random days on which the largest customer floods a shared queue
    Then the other customers earn 0.9 of the value owed to them
    And they earn 0.9 of what they earn if nobody sends more than is owed
    And more is earned of what is owed than by the order without customers

  # Load: the same, while the next queue bursts as well.
  Scenario: A flood while two bursts overlap leaves the others their shares
    Given 2 random days on which it floods two queues while two bursts overlap
    Then the other customers earn 0.9 of what they earn if nobody sends more than is owed
    And more is earned of what is owed than by the order without customers

  # Load: the flood, against the customer with the least weight among twenty.
  Scenario: The customer with the least weight gets what is owed to it
    Given 3 random days on which the largest customer floods a shared queue
    Then the customer with the least weight earns 0.9 of the value owed to it

  # Load: a wide job of the smallest customer in the middle of the flood.
  Scenario: A wide job of the smallest customer is in time during the flood
    Given a random day on which the largest customer floods a shared queue
    When the smallest customer submits its only job, of 32 tasks, 3 s into the flood
    Then that job is in time

  # Load: the flood, and one customer whose jobs all want the same rack.
  Scenario: A customer whose jobs want one rack isn't starved by the flood
    Given a random day on which the largest customer floods a shared queue
    And all jobs of the second largest customer want the same rack
    Then the second largest customer earns 0.9 of the value owed to it

  # Load: the flood, against the tenth of the others' jobs with the most work.
  Scenario: The largest tenth of the others' jobs isn't starved by the flood
    Given 3 random days on which the largest customer floods a shared queue
    Then 0.9 as many of the others' largest jobs are in time as if nobody sends more than is owed

  # Failure: a change of leader in the middle of the flood.
  Scenario: A new leader agrees on which jobs are beyond their customers' rates
    Given a random day on which the largest customer floods a shared queue
    When another leader takes over 4 s into the flood
    Then it marks the same active jobs as its predecessor did

  # Load: floods that fill the pools for longer than jobs are worth anything.
  Scenario: Refused callers that return when told find room
    Given 2 random days on which it floods two queues while two bursts overlap
    Then some jobs are refused
    And more than half of the calls that return are accepted
    And no refused job would have been in time without its refusal

  # Load: a full pool and a customer that keeps to its rate.
  Scenario: A job within its customer's rate is not refused
    Given a pool with 100 s of waiting work
    Then a customer of weight 2 may submit 2 jobs at once
    And its third job is refused, until 30 s at the most and 1 s at the least
    And 0.5 s later it may submit one more

  # Load: a full pool; lasting and scheduled jobs don't compete for it now.
  Scenario: Lasting and scheduled jobs are accepted whatever the rate
    Given a pool with 100 s of waiting work
    And a customer of weight 2 that has submitted 2 jobs
    Then its lasting job and its scheduled job are accepted

  # Load: 20 calls refused in the same second.
  Scenario: Callers that are refused together return one after the other
    Given a pool with 100 s of waiting work
    And a customer of weight 2 that has submitted 2 jobs
    When 20 more of its jobs are refused at once
    Then no more than 2 of them return within the same second, but at the bound

  # Load: a full pool; the answer that the refused caller gets.
  Scenario: A refused job gets 429 with the time to return, and is not stored
    Given a pool with 100 s of waiting work
    And a customer of weight 2 that has submitted 2 jobs
    When its caller sends the job job-2
    Then that caller gets 429, to return after 1 s at the least and 30 s at the most
    And nothing is stored

  # Load: a full pool, and a caller whose first try was stored unanswered.
  Scenario: A job that is stored already is never refused
    Given a pool with 100 s of waiting work
    And a customer of weight 2 that has submitted 2 jobs
    When its caller sends the job job-1
    Then that caller gets 200

  # Load: any; deployments without customers.
  Scenario: Without customers the order of work is as before
    Given 200 random steps without customers
    Then they are served by priority, lateness and latest start alone
