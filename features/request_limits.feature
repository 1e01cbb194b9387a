@split
Feature: Each request within the limits is served, and each other one is refused

  Background:
    Given 1 control replicas, 1 entries and 1 workers with the usual limits

  # Guards against limits for crowds that refuse a single request inside them.
  Scenario: A single job at each limit is accepted
    Then entry-1 answers 200 to a job sent with fields of 16384 bytes in all
    And entry-1 answers 200 to a job sent with fields of 8 bytes each, 16384 in all
    And entry-1 answers 200 to a job sent with a body of 262144 bytes at once
    And entry-1 answers 200 to a job sent with a body of 262144 bytes in pieces of 1000
    And entry-1 answers 200 to a job sent with a body of 262144 bytes in chunks of 16384
    And entry-1 answers 200 to a job sent with a body of 262144 bytes in chunks of 1
    And entry-1 answers 200 to a job sent with extensions of chunks and trailers
    And entry-1 answers 200 to a job sent after some empty lines
    And entry-1 answers 200 to a job sent once it has said to continue
    And entry-1 answers 200 to a job sent piece by piece of 1 byte

  # Guards against a refusal of what was accepted, or the other way round.
  Scenario: A request beyond a limit is refused at once and accepted nowhere
    Then entry-1 refuses with 431 a job sent with fields of 16388 bytes in all
    And entry-1 refuses with 414 a job sent with a request line of 16400 bytes
    And entry-1 refuses with 413 a job sent with a stated length of 262145 bytes
    And entry-1 refuses with 413 a job sent with a body of 262145 bytes in chunks of 16384
    And entry-1 refuses with 400 a job sent with a chunk longer than its stated size
    And entry-1 refuses with 400 a job sent with both a length and chunks
    And entry-1 refuses with 400 a job sent with two lengths
    And entry-1 refuses with 400 a job sent with a length that is no number
    And entry-1 refuses with 501 a job sent with a compressed transfer coding
    And entry-1 refuses with 400 a job sent after 20000 bytes of empty lines
    And entry-1 refuses with 400 a job sent after bytes that are not HTTP
    And the metrics of entry-1 count at least 11 connections refused as invalid
    And the log of entry-1 tells the client, the cause and the size of a refusal

  # Guards against a large configuration that is refused for how its path is written.
  Scenario: A configuration of the largest size is acknowledged on a small machine
    Then control-1 answers 200 to a configuration of 4194304 bytes at /config/replace
    And control-1 answers 200 to a configuration of 4194304 bytes at http://control/config/replace
    And control-1 answers 413 to a configuration of 4194305 bytes at /config/replace

  # Guards against answers that are lost or mixed up when requests are sent ahead.
  Scenario: Requests sent ahead of their answers are answered in order
    When a client sends 40 requests at once on one connection
    Then it gets 40 answers in the order of its requests

  # Guards against limits of the configuration that are read and not kept.
  Scenario: A changed limit on heads is in force, and an older configuration keeps its default
    When a configuration without limits is accepted
    Then entry-1 answers 200 to a job sent with fields of 16384 bytes in all
    When a configuration allows heads of 2000 bytes
    Then entry-1 comes to refuse with 431 a job sent with fields of 3000 bytes in all
    And entry-1 answers 200 to a job sent with fields of 2000 bytes in all
    When a configuration allows heads of 20000 bytes
    Then entry-1 comes to answer 200 to a job sent with fields of 20000 bytes in all
