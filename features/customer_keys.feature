Feature: Calls are served for the customer whose key they carry, by the newest configuration

  Background:
    Given control replicas with the customers first and second

  # Guards against serving a call whose key no configuration held.
  Scenario Outline: A call needs a known key unless its queue is public
    When a job is submitted at the <queue> queue with <key>
    Then the call is <answer>

    Examples:
      | queue  | key             | answer                       |
      | closed | a key of first  | done                         |
      | closed | a key of second | done                         |
      | closed | an unknown key  | refused for its key          |
      | closed | no key          | refused for its key          |
      | open   | an unknown key  | done                         |
      | open   | no key          | done                         |

  # Guards against asking for keys in deployments that have no customers.
  Scenario: Without customers in the configuration no call needs a key
    When a configuration without customers is accepted
    And a job is submitted at the closed queue with no key
    Then the call is done
    And it is shown with an unknown key

  # Guards against jobs that a customer sees or cancels although they are another's.
  Scenario: Another customer's key neither shows nor cancels a job, nor says that it is stored
    When a job is submitted at the closed queue with a key of first
    Then the call is done
    When the job is asked for with a key of second
    Then the call is answered as for an unknown job
    When the job is cancelled with a key of second
    Then the call is answered as for an unknown job
    When the same job is submitted with a key of second
    Then the call is answered as for an unknown job
    And the job is active and belongs to first

  # Guards against a customer that is told that its job is stored while another's of the same id is on its way.
  Scenario: Two customers that hand in a job of the same id at the same time don't both get it
    When a job is submitted with a key of first and at the same time with a key of second
    Then only first is told that it is stored

  # Guards against callers that are cut off, or lose their jobs, while keys are rotated.
  Scenario: Keys are rotated under load, and no caller that changes its key in time is refused
    When a job is submitted at the closed queue with a key of first
    And first gets a new key while calls with its old key go on
    Then no call was refused
    When first loses its old key while calls with its new key go on
    Then no call was refused
    And the job is shown with the new key of first
    And calls with the old key of first are refused

  # Guards against calling a job unknown to the customer that handed it in.
  Scenario: A job of a public queue isn't called unknown to an owner whose key was taken away
    When a job is submitted at the open queue with a key of first
    And first loses its old key
    And the job is asked for at the open queue with the old key of first
    Then the call is refused for its key

  # Guards against a job that is stored for a key which was taken away while the call was handled.
  Scenario: A call that is handled while its key is taken away isn't stored afterwards
    When a job is submitted at the moment at which first loses its old key
    Then the call is refused for its key
    And the job is not stored

  # Guards against an untrue answer about a job whose first submission may have been stored.
  Scenario: A job that is submitted again after its key was taken away is neither called stored nor never run
    When a job is submitted at the closed queue with a key of first
    And first loses its old key
    And the same job is submitted with the old key of first
    Then the call is refused for its key

  # Guards against untrue answers while entries of the former version, which pass no keys on, still run.
  Scenario: A call of an entry that passes no keys on is refused, and nothing untrue is said
    When a job is submitted at the closed queue by an entry that passes no keys on
    Then the call is refused for the moment
    And the job is not stored
    When a job is submitted at the closed queue with a key of first
    And the same job is submitted by an entry that passes no keys on
    Then the outcome of the call is unknown
    When a job is submitted at the open queue by an entry that passes no keys on
    Then the call is done

  # Guards against a former leader that serves a key which was taken away while it was cut off or asleep.
  Scenario Outline: A leader that is <away> while a key is taken away serves no call with it
    When the leader is <away> and first loses its old key under the next leader
    And the former leader gets calls with the old key of first as it <returns>
    Then it says only that it doesn't lead
    And calls with the old key of first are refused

    Examples:
      | away    | returns     |
      | cut off | is cut off  |
      | frozen  | wakes       |

  # Guards against a key that works again because of what a replica restored.
  Scenario Outline: A key that was taken away stays so <after>
    When a replica sleeps while first loses its old key
    And <event>
    Then calls with the old key of first are refused
    And calls with the new key of first are done
    When a newer configuration gives first its old key back
    Then calls with the old key of first are done

    Examples:
      | after                                    | event                                             |
      | after a change of leader                 | that replica wakes and leads                      |
      | after a snapshot is installed            | that replica gets a snapshot in its place and leads |
      | after a restart of every replica         | every replica restarts                            |

  # Guards against serving a configuration with customers as if it had none, after an upgrade.
  Scenario: A configuration that the former version stored without its customers is read again before calls are served
    When the former version stores a configuration in which second has a new key
    Then no call was served without a known key
    And calls with the new key of second are done
    And calls with the old key of second are refused
    When the leader stops
    Then calls with the old key of second are refused
    And the open queue still needs no key

  # Guards against serving a configuration as if it had no customers because it can't be read.
  Scenario: A configuration of the former version that this version can't read is not served
    When the former version stores a configuration in which two customers share a key
    Then calls get no answer but that nobody can serve them
    When a newer configuration gives first its old key back
    Then calls with the old key of first are done

  # Guards against changes of customers that the log doesn't tell, and against keys in it.
  Scenario: A change of customers is one line of the log, and keys are only counted
    When the keys of first change, second goes and third comes
    Then the log names third as added, second as removed, and counts 3 keys added and 2 removed
    And neither log nor answers contain a key
