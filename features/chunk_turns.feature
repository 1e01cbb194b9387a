Feature: Bodies in small chunks take turns

  # Guards against chunks of some clients that take the process's time from all others.
  Scenario: Chunks of one byte are parsed over many iterations of the event loop
    Given 3 connections that have each sent a body of 10000 chunks of one byte
    When an ordinary request comes on another connection
    Then its handler has it at once
    And no body is whole after 10 iterations of the event loop
    And all 3 bodies are whole after 40 iterations, with 10000 bytes each

  # Guards against turns that a connection keeps after it has closed.
  Scenario: A connection that closes leaves the turns to the others
    Given 3 connections that have each sent a body of 10000 chunks of one byte
    When the first 2 of them close
    Then 1 body is whole after 20 iterations, with 10000 bytes

  # Guards against a connection that stands still once its client has read late.
  Scenario Outline: A client that reads a response late gets the next one
    Given a connection whose handler has its first request
    When <first>
    And <second>
    And another request comes
    Then the handler has 1 request
    When the client has read its response
    Then the handler has 2 requests

    Examples:
      | first                            | second                           |
      | the handler has its response     | the client stops to read         |
      | the client stops to read         | the handler has its response     |
      | the handler has a large response | the client stops to read         |
      | the client stops to read         | the handler has a large response |
