Feature: Errors in settings name the file, the field and the value

  Scenario Outline: <program> refuses <field> set to <value>
    Given valid settings of <program>
    When <field> is set to <value> and the program is run
    Then it ends with exit code 2
    And the error names the settings file, <named> and <shown>

    Examples: control
      | program | field              | value            | named              | shown              |
      | control | entry_lease_ms     | 1800             | entry_lease_ms     | entry_lease_s      |
      | control | colour             | "red"            | colour             | known fields       |
      | control | http_address       | "7201"           | http_address       | 7201               |
      | control | link_address       | "10.0.0.1:70000" | link_address       | 70000              |
      | control | members            | {"control-2": "127.0.0.1:7100"} | replica_id | control-1    |
      | control | election_min_s     | "soon"           | election_min_s     | soon               |
      | control | election_max_s     | 0.1              | election_max_s     | 0.1                |
      | control | clock_drift_ratio  | -1               | clock_drift_ratio  | -1                 |
      | control | platform_url       | "ftp://platform" | platform_url       | ftp://platform     |
      | control | replica_id         | ""               | replica_id         | ''                 |
      | control | log_level          | "loud"           | log_level          | loud               |

    Examples: entry
      | program | field              | value            | named              | shown              |
      | entry   | silence_timeout_s  | 0.1              | silence_timeout_s  | 0.1                |
      | entry   | max_queued_calls   | 0                | max_queued_calls   | 0                  |
      | entry   | controls           | {}               | controls           | at least one       |
      | entry   | controls           | {"control-1": 7} | controls.control-1 | 7                  |
      | entry   | stop_timeout_ms    | 100              | stop_timeout_ms    | stop_timeout_s     |
      | entry   | default_deadline_s | null             | default_deadline_s | null               |

  Scenario Outline: <program> refuses a settings file that <state>
    Given valid settings of <program>
    When the settings file <state> and the program is run
    Then it ends with exit code 2
    And the error names the settings file, <named> and <shown>

    Examples:
      | program | state           | named         | shown   |
      | control | is missing      | --settings    | No such |
      | entry   | is broken JSON  | (whole input) | JSON    |
      | entry   | holds a list    | (whole input) | object  |

  Scenario: A control replica refuses a data folder that is not formatted for it
    Given valid settings of control
    When the program is run
    Then it ends with exit code 1
    And the error says that the folder has no identity
    When the folder is formatted for control-1 and the program is run as control-2
    Then it ends with exit code 1
    And the error says that the folder belongs to replica control-1

  Scenario: A data folder cannot be formatted twice
    Given valid settings of control
    When the folder is formatted twice
    Then it ends with exit code 1
    And the error says that the folder already belongs to replica control-1

  Scenario: The error names an address that is already in use
    Given valid settings of entry
    When another process listens on the http address and the program is run
    Then it ends with exit code 1
    And the error names the http_address

  Scenario Outline: <program> prints help
    When <program> is asked for help
    Then it ends with exit code 0
    And the help lists <command>

    Examples:
      | program               | command |
      | greengagering-control | format  |
      | greengagering-entry   | check   |
      | greengagering-ticket  | explain |
      | greengagering-local   | run     |
      | greengagering-standin | upstream|
