Feature: A server bounds its connections and gives up the right ones

  # Guards against silent clients that keep every connection for themselves.
  Scenario: A new connection takes the place of one that has sent no request
    Given a server of at most 4 connections
    And connection a has been idle after a request since 0 s
    And connection b has been new since 1 s
    And connection c has been in its head since 2 s
    And connection d has been in its body since 3 s
    When connection e arrives at 4 s
    Then b is given up as too_many_connections
    When connection f arrives at 4 s
    Then e is given up as too_many_connections

  # Guards against requests that are given up although they run.
  Scenario: A request that runs keeps its connection, and a newcomer is refused
    Given a server of at most 2 connections
    And connection a has been running since 0 s
    And connection b has been running since 0 s
    When connection c arrives at 1 s
    Then there is no room for c
    And nobody is given up

  # Guards against responses that nobody reads, and that keep their connections.
  Scenario: A client that doesn't read its response gives way before others
    Given a server of at most 2 connections
    And connection a has been new since 0 s
    And connection b has been unread since 1 s
    When connection c arrives at 2 s
    Then b is given up as too_many_connections

  # Guards against connections that nothing ever ends.
  Scenario Outline: A connection that waits too long is given up
    Given a server of at most 9 connections
    And connection a has been <stage> since 0 s
    When it is <before> s
    Then nobody is given up
    When it is <after> s
    Then a is given up as <cause>

    Examples:
      | stage        | before | after | cause       |
      | new          | 14.9   | 15    | idle        |
      | idle         | 14.9   | 15    | idle        |
      | in its head  | 2.9    | 3     | slow_head   |
      | in its body  | 9.9    | 10    | slow_body   |
      | unread       | 14.9   | 15    | slow_reader |
      | closing      | 0.9    | 1     | lingered    |

  # Guards against a body that never ends because a byte of it comes now and then.
  Scenario: A body that goes on coming is given up in time all the same
    Given a server of at most 9 connections
    And connection a has been in its body since 0 s
    When bytes of a come at 5 s
    And it is 10 s
    Then a is given up as slow_body

  # Guards against a slow reader that is taken for one that doesn't read.
  Scenario: A response that is being read may take its time
    Given a server of at most 9 connections
    And connection a has been unread since 0 s
    And connection b has been unread since 1 s
    When bytes of a come at 10 s
    And it is 16 s
    Then b is given up as slow_reader
    When it is 24.9 s
    Then nobody is given up
    When it is 25 s
    Then a is given up as slow_reader

  # Guards against a client that waits for its answer being given up.
  Scenario: A request that runs is never overdue
    Given a server of at most 9 connections
    And connection a has been running since 0 s
    When it is 1000 s
    Then nobody is given up

  # Guards against bodies that are bounded one by one, but not all together.
  Scenario: A large body is refused while others that move on hold the memory
    Given a server whose requests may hold 400000 bytes
    And connections a, b and c receive bodies of 100000 bytes since 0 s
    When bytes of a come at 1 s
    And bytes of b come at 1 s
    And bytes of c come at 1 s
    Then d has no room for a body of 100000 bytes at 1.2 s
    And nobody is given up

  # Guards against stalled bodies that keep out those that move on.
  Scenario: A large body takes the place of the one that has stalled longest
    Given a server whose requests may hold 400000 bytes
    And connections a, b and c receive bodies of 100000 bytes since 0 s
    When bytes of a come at 1 s
    Then d has room for a body of 100000 bytes at 1.2 s
    And b is given up as memory

  # Guards against small requests that large bodies keep out.
  Scenario: A small request has room beside large ones
    Given a server whose requests may hold 400000 bytes
    And connections a, b and c receive bodies of 100000 bytes since 0 s
    Then d has room for a body of 4000 bytes at 0.1 s
    And nobody is given up

  # Guards against memory that stays reserved after its request.
  Scenario: What a request held is free once its connection is gone or it has ended
    Given a server whose requests may hold 400000 bytes
    And connections a, b and c receive bodies of 100000 bytes since 0 s
    When connection a is gone
    And the request of b ends
    Then the requests hold 100000 bytes
    When connection b is gone
    And connection c is gone
    Then the requests hold 0 bytes

  # Guards against a body that asks for more memory, and counts twice.
  Scenario: A body whose size turns out larger reserves the difference
    Given a server whose requests may hold 400000 bytes
    And connections a, b and c receive bodies of 16000 bytes since 0 s
    Then a has room for a body of 200000 bytes at 0.1 s
    And the requests hold 232000 bytes
    And b has no room for a body of 200000 bytes at 0.1 s
    And the requests hold 232000 bytes

  # Guards against large answers that are kept for clients that don't read them.
  Scenario: A response that nobody reads gives way to another one, and one that is being read doesn't
    Given a server whose requests may hold 400000 bytes
    And connections a, b and c receive bodies of 100000 bytes since 0 s
    And connection a has come to be unread at 0 s
    And connection b has come to be unread at 0 s
    When bytes of a come at 1 s
    And bytes of c come at 2.5 s
    Then d has room for a body of 100000 bytes at 2.6 s
    And b is given up as memory
    And e has no room for a body of 100000 bytes at 2.6 s
