@split
Feature: Work under an idempotency key runs at most once

  Background:
    Given 3 control replicas and 2 entries
    And upstreams vm-1, vm-2 and vm-3 announce pool dispatch-pool to any entry
    And ticket 1 puts pool dispatch-pool for service dispatch in force

  Scenario: A resend through either entry gets the kept answer
    When work alert-1 is sent through entry-1
    And work alert-1 is sent again through each entry
    Then all answers are the same complete answer
    And work alert-1 has run once

  Scenario: A resend through another entry joins the work that still runs
    When long work alert-1 of 1200 ms is sent through entry-1
    And long work alert-1 of 1200 ms is joined through entry-2
    Then all answers are the same complete answer
    And work alert-1 has run once

  Scenario: The same work sent many times at once runs once
    When long work alert-1 of 300 ms is sent 20 times at once
    Then all answers are the same complete answer
    And work alert-1 has run once

  Scenario: A caller that disconnects and resends gets the answer to its first request
    When the caller of long work alert-1 of 800 ms through entry-1 disconnects
    And long work alert-1 of 800 ms is sent again through entry-2
    Then all answers are the same complete answer
    And work alert-1 has run once

  Scenario: The same key with another body is refused and not run
    When work alert-1 is sent through entry-1
    And other work under key alert-1 is sent through entry-2
    Then the last answer is 409 with outcome not-run and reason key_reused
    And work alert-1 has run once

  Scenario Outline: Work whose upstream fails is not run again
    When failing work alert-1 with fault <fault> is sent through entry-1
    Then the last answer is 502 with outcome unknown and reason upstream_failed
    When failing work alert-1 with fault <fault> is sent again through entry-2
    Then the last answer is 409 with outcome unknown and reason outcome_unknown
    And work alert-1 has run once

    Examples:
      | fault       |
      | cut_headers |
      | cut_body    |
      | unsized     |

  Scenario: Work whose entry is killed is not run again
    When long work alert-1 of 1500 ms is sent through entry-1
    And entry-1 is killed while it runs
    And long work alert-1 of 1500 ms is sent again through entry-2
    Then the last answer is 409 with outcome unknown and reason outcome_unknown
    And work alert-1 has run once

  Scenario: Work that is claimed while the leader is killed runs once
    When the leader is killed while 30 pieces of work are sent through both entries
    And each of them is sent again through both entries until it is answered
    Then each of them has run at most once and its answers agree

  Scenario: Work that was refused without running may run elsewhere
    Given the upstreams of the pool have one slot each
    When 3 calls hold every slot for 1500 ms
    And short-deadline work alert-1 of 200 ms is sent through entry-1
    Then the last answer is 503 with outcome not-run and reason deadline_passed
    And work alert-1 has not run
    When work alert-1 is sent again through entry-2
    Then the last answer is 200 with outcome answered and reason none
    And work alert-1 has run once

  Scenario: A key that is too old is refused and not run
    When old work alert-1 of 16 minutes ago is sent through entry-1
    Then the last answer is 409 with outcome unknown and reason key_expired
    And work alert-1 has not run

  Scenario: A key with an invalid time is refused
    When work alert-1 is sent with soon as the time of its key
    Then the answer is 400 and names Greengagering-Key-Issued-At-Ms and 'soon'
    And work alert-1 has not run

  Scenario: Without a control quorum no claim is granted
    When two control replicas are killed
    And short-deadline work alert-1 of 700 ms is sent through entry-1
    Then the last answer says unknown and has a Retry-After header
    And work alert-1 has not run
