@alone
Feature: Processes bear crowds of clients that keep to no limit

  # Guards against a head that is read and kept without a bound.
  Scenario Outline: Heads: clients send <what>
    Given a control replica and an entry on small machines
    When clients send <what> to the port for callers
    Then an ordinary job is accepted beside them
    And every process has stayed within its machine

    Examples:
      | what                       |
      | a field value without end  |
      | a field name without end   |
      | a request line without end |
      | fields without end         |
      | bytes that are not HTTP    |

  # Guards against empty lines before a request that keep connections for ever.
  Scenario: Empty lines: clients send them without end
    Given a control replica and an entry on small machines
    When clients send empty lines without end to the port for callers
    Then an ordinary job is accepted beside them
    And every process has stayed within its machine

  # Guards against bodies that are bounded one by one, but not all together.
  Scenario Outline: Bodies: clients send <what>
    Given a control replica and an entry on small machines
    When clients send <what> to the port for callers
    Then an ordinary job is accepted beside them
    And every process has stayed within its machine

    Examples:
      | what                                          |
      | whole bodies                                  |
      | bodies that stop short of their end           |
      | bodies in pieces that stop short of their end |
      | large chunks that stop short of their end     |

  # Guards against jobs whose parsed form takes many times the memory of their bytes.
  Scenario: Large jobs: clients send whole jobs of many steps
    Given a control replica and an entry on small machines
    When clients send whole jobs of many steps to the port for callers
    Then an ordinary job is accepted beside them
    And every process has stayed within its machine

  # Guards against accepted jobs that fill the memory of all control replicas.
  Scenario: Accepted jobs: clients send large jobs one after the other
    Given a control replica and an entry on small machines
    When clients send large jobs one after the other to the port for callers
    Then an ordinary job is accepted beside them
    And every process has stayed within its machine

  # Guards against small chunks that take the process's time from all others.
  Scenario: Small chunks: clients send chunks of one byte
    Given a control replica and an entry on small machines
    When clients send chunks of one byte that stop short of their end to the port for callers
    Then an ordinary job is accepted beside them
    And every process has stayed within its machine

  # Guards against what surrounds a body being read without a bound.
  Scenario Outline: Around bodies: clients send <what>
    Given a control replica and an entry on small machines
    When clients send <what> to the port for callers
    Then an ordinary job is accepted beside them
    And every process has stayed within its machine

    Examples:
      | what                         |
      | chunk extensions without end |
      | trailers without end         |
      | a body after its refusal     |

  # Guards against connections that take every descriptor and are never closed.
  Scenario Outline: Connections: clients send <what>
    Given a control replica and an entry on small machines
    When clients send <what> to the port for callers
    Then an ordinary job is accepted beside them
    And every process has stayed within its machine

    Examples:
      | what                         |
      | nothing                      |
      | half a head                  |
      | one request and then nothing |

  # Guards against requests and answers that pile up on a connection.
  Scenario Outline: Pipelines: clients send <what>
    Given a control replica and an entry on small machines
    When clients send <what> to the port for callers
    Then an ordinary job is accepted beside them
    And every process has stayed within its machine

    Examples:
      | what                                    |
      | one request and much behind it          |
      | requests ahead of their answers         |
      | requests whose answers they do not read |

  # Guards against large answers that are kept for clients that don't read them.
  Scenario: Unread answers: clients ask for a large configuration
    Given a control replica and an entry on small machines
    And a configuration of 4194304 bytes is in force
    When clients send questions for the configuration whose answers they do not read to the port for workers and operators
    Then an ordinary job is accepted beside them
    And the operator, who asks again after a 503, reads the configuration beside them
    And every process has stayed within its machine

  # Guards against a bound that only the port for callers has.
  Scenario Outline: Other ports: <where>, clients send <what>
    Given a control replica and an entry on small machines
    When clients send <what> to <where>
    Then an ordinary job is accepted beside them
    And the configuration is read beside them
    And the readiness check and the metrics are answered beside them
    And every process has stayed within its machine

    Examples:
      | what                                        | where                              |
      | a field value without end                   | the port for workers and operators |
      | configurations that stop short of their end | the port for workers and operators |
      | reports that stop short of their end        | the port for workers and operators |
      | nothing                                     | the port for workers and operators |
      | a field value without end                   | the entry's readiness port         |
      | nothing                                     | the entry's readiness port         |
      | a field value without end                   | the entry's metrics port           |
      | nothing                                     | the entry's metrics port           |
      | nothing                                     | the control replica's metrics port |
      | a field value without end                   | the entry's link port              |
      | nothing                                     | the entry's link port              |
      | nothing                                     | the control replica's link port    |

  # Guards against bounds that only the programs on the platform have.
  Scenario Outline: Own programs: <name>, clients send <what>
    Given a control replica and an entry of the product's own programs
    When clients send <what> to the own program of <name>
    Then an ordinary call is answered beside them
    And an ordinary ticket is accepted beside them
    And every process has stayed within its machine

    Examples:
      | what                                 | name      |
      | a field value without end            | entry-1   |
      | calls that stop short of their end   | entry-1   |
      | nothing                              | entry-1   |
      | a field value without end            | control-1 |
      | tickets that stop short of their end | control-1 |
      | nothing                              | control-1 |

  # Guards against clients that keep a process from stopping.
  Scenario Outline: Stops: <where>, clients send <what>
    Given a control replica and an entry on small machines
    When clients send <what> to <where>
    And the process of <where> is asked to stop
    Then it ends with code 0

    Examples:
      | what                                                           | where                              |
      | bodies in pieces that stop short of their end                  | the port for callers               |
      | chunks of one byte that stop short of their end                | the port for callers               |
      | half a head                                                    | the port for callers               |
      | requests whose answers they do not read                        | the port for callers               |
      | nothing                                                        | the entry's link port              |
      | reports that stop short of their end                           | the port for workers and operators |
      | questions for the configuration whose answers they do not read | the port for workers and operators |
