Feature: Processes of two versions read each other's messages and records

  # Guards against a field or value without which a message of the former
  # landing can't be read: a rolling upgrade then answers no call.
  Scenario: This version reads what the former landing wrote
    Given the forms of the former landing
    When this version decodes every sample of it
    Then every sample was decoded

  # Guards against a message that the former landing drops as malformed.
  Scenario: The former landing reads what this version writes
    Given the forms of the former landing
    When a reader of those forms decodes what this version encodes
    Then every sample was decoded
