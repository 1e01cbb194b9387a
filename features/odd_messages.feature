Feature: A process goes on after a message or a call that fails unexpectedly

  # Guards against a link that breaks at the same message again and again.
  Scenario: An odd message between processes is dropped, and the next ones are handled
    Given a process that listens for others
    When a frame holds a message nested too deeply, one that its handler can't use, and a good one
    Then the good one is handled

  Scenario: A message that can't be encoded is dropped, and the next one is sent
    Given a process that sends to another
    When it sends a message with a number of 10^30, and then a good one
    Then the good one is queued

  Scenario Outline: A link to an odd address is retried like one to a silent process
    When a process sends to the address <address>
    Then its link is still trying

    Examples:
      | address        |
      | nowhere        |
      | 10.0.0.9:99999 |
      | ..:80          |

  # Guards against a failure of one call by which a worker, stored with an
  # odd address, is never polled again.
  Scenario: A call to a worker that fails unexpectedly counts as unanswered
    Given a client of workers that fails with a UnicodeError
    When orders and polls are sent to a worker
    Then each is unanswered
