Feature: An odd seed in the settings stops no process

  # Guards against an odd seed by which a process ends or follows no settings.
  Scenario: Valid seeds are used beside an odd one
    When settings with the seeds "10.0.0.1:80 10.0.0.2:99999 nowhere [::1:80 10.0.0.3:80" are read
    Then the seeds "10.0.0.1:7000 10.0.0.3:7000" are used

  # Guards against first voters that differ from machine to machine.
  Scenario: A first start with an odd seed is refused
    When settings of a first start with the seeds "10.0.0.1:80 10.0.0.2:99999" are read
    Then the settings are refused, naming seed_addresses
