Feature: Messages of the platform are converted completely, or refused with the invalid field and its value

  Scenario Outline: An invalid configuration is refused
    When a configuration <fault> is read
    Then it is refused, naming <field>

    Examples:
      | fault                        | field       |
      | cut short                    | (body)      |
      | without a version            | (body)      |
      | with version 0               | version     |
      | with an unknown service      | service     |
      | with two routes at one place | routes      |
      | with a time-out of 0         | timeoutMs   |
      | with a prefix without /      | pathPrefix  |
      | with a service named twice   | services    |
      | with a text as priority      | (body)      |

  # Guards against a configuration by which a call belongs to two customers,
  # or to one whose share or limit means nothing; and against keys in logs.
  Scenario Outline: A configuration with invalid customers is refused without showing a key
    When a configuration <fault> is read
    Then it is refused, naming <field>
    And the refusal contains no key

    Examples:
      | fault                          | field        |
      | with two customers of one name | tenants      |
      | with a customer without a name | name         |
      | with a key of two customers    | apiKeys      |
      | with an empty key              | apiKeys      |
      | with a number as key           | (body)       |
      | with a text as weight          | (body)       |
      | with weight 0                  | weight       |
      | with a negative weight         | weight       |
      | with a negative limit          | maxCount.cpu |
      | with a text as limit           | (body)       |

  Scenario: Customers are converted, with digests in place of their keys
    When a configuration with new fields is read
    Then its customers hold what was sent, and no key outside the source

  Scenario: A configuration with unknown fields is accepted
    When a configuration with new fields is read
    Then its queues and services are those of the example, and its source is kept byte by byte

  # Guards against refusing a caller's key for how its header is written, or taking another scheme's text for a key.
  Scenario Outline: A caller's key is read from its header
    When the header <header> is read
    Then <key> is read as the key

    Examples:
      | header          | key    |
      | Token abc       | abc    |
      | token abc       | abc    |
      | Token   abc     | abc    |
      | Token           | no key |
      | Bearer abc      | no key |
      | abc             | no key |
      | Token \udcff     | \udcff  |

  Scenario Outline: An invalid job is refused
    When a job <fault> is read
    Then it is refused, naming <field>

    Examples:
      | fault                        | field  |
      | cut short                    | (body) |
      | without steps                | steps  |
      | with a step after itself     | after  |
      | with no tasks                | count  |
      | with a text of 4001 bytes    | spec   |
      | with a negative need         | steps  |
      | with 100001 tasks            | steps  |

  Scenario: Every field of a job is converted to the product's own field
    When a job with every field is read
    Then each field of its step holds what was sent

  Scenario Outline: An invalid heartbeat is refused
    When a heartbeat <fault> is read
    Then it is refused, naming <field>

    Examples:
      | fault                      | field    |
      | of junk bytes              | (body)   |
      | without a capacity         | (body)   |
      | with a number as service   | (body)   |
      | in an unknown state        | state    |
      | with a broken address      | address  |
      | with negative capacity     | capacity |

  Scenario: Mutated input of every kind is accepted or refused, and raises no other error
    When 3000 mutated configurations, jobs and heartbeats are read
    Then each is read, or refused with its field
