Feature: An odd entry from outside is refused with field and value, and stops nothing

  # Guards against numbers that can't be stored, ports that can't be called and
  # nesting that ends in an error which no reader expects.
  Scenario Outline: An odd heartbeat is refused
    When the heartbeat's <field> is <value>
    Then the refusal names <named> and <shown>

    Examples:
      | field        | value              | named               | shown     |
      | novelty      | nested too deeply  | (body)              | nested    |
      | born         | 10^30              | (body).born         | 1000000   |
      | born         | 10^5000            | (body).born         | range     |
      | seq          | 10^30              | (body).seq          | 1000000   |
      | seq          | -1                 | (body).seq          | -1        |
      | wallClockMs  | 10^30              | (body).wallClockMs  | 1000000   |
      | capacity.cpu | 10^30              | (body).capacity.cpu | 1000000   |
      | address      | "10.0.0.9:0"       | address             | :0        |
      | address      | "10.0.0.9:99999"   | address             | 99999     |
      | address      | a port of 30 digits | address            | 1111      |
      | address      | "10.0.0.9:²"       | address             | ²         |
      | address      | "10.0.0.9:٣"       | address             | ٣         |
      | address      | "a b:80"           | address             | a b       |
      | address      | "[::1:80"          | address             | [::1      |
      | address      | "..:80"            | address             | ..        |
      | address      | "u@h/x:80"         | address             | u@h/x     |
      | id           | "i-1\r\nX: y"      | id                  | printable |
      | id           | 300 characters     | id                  | 255       |

  Scenario: Addresses of every form are accepted
    When heartbeats with the addresses "10.0.0.9:8080 [::1]:80 host-1.zone_a:65535 h:1" are read
    Then none is refused

  # Guards against one caller's job that stops every later call and decision.
  Scenario Outline: An odd job is refused
    When the job's <field> is <value>
    Then the refusal names <named> and <shown>

    Examples:
      | field              | value             | named                       | shown   |
      | novelty            | nested too deeply | (body)                      | nested  |
      | firstMs            | 1e300             | (body).firstMs              | 1e+300  |
      | intervalMs         | 1e300             | (body).intervalMs           | 1e+300  |
      | steps.0.estMs      | 1e300             | (body).steps[0].estMs       | 1e+300  |
      | steps.0.estMs      | 1e400             | (body).steps[0].estMs       | range   |
      | steps.0.cpu        | 10^30             | (body).steps[0].cpu         | 1000000 |
      | steps.0.targetMs   | -1                | (body).steps[0].targetMs    | -1      |
      | steps.0.mayMiss    | 10^30             | (body).steps[0].mayMiss     | 1000000 |
      | steps.0.maxPerServer | -1              | (body).steps[0].maxPerServer | -1     |
      | steps.0.count      | 10^30             | (body).steps[0].count       | 1000000 |
      | times              | 10^30             | times                       | 1000000 |

  Scenario Outline: An odd configuration is refused
    When the configuration's <field> is <value>
    Then the refusal names <named> and <shown>

    Examples:
      | field                  | value             | named                 | shown    |
      | novelty                | nested too deeply | (body)                | nested   |
      | version                | 10^30             | version               | 1000000  |
      | limits.maxBodyBytes    | -1                | limits.maxBodyBytes   | -1       |
      | routes.0.priority      | 10^30             | routes.0.priority     | 1000000  |
      | routes.0.stretch       | 1e300             | routes.0.stretch      | 1e+300   |
      | routes.0.timeoutMs     | 1e300             | routes.0.timeoutMs    | 1e+300   |
      | routes.0.attempts      | 10^30             | routes.0.attempts     | 1000000  |
      | services.0.maxConns    | 10^30             | services.0.maxConns   | 1000000  |
      | tenants.0.weight       | 1e300             | tenants.0.weight      | 1e+300   |
      | tenants.0.maxCount.cpu | 10^30             | tenants.0.maxCount.cpu | 1000000 |

  Scenario Outline: An odd wave is refused
    When the wave's <field> is <value>
    Then the refusal names <named> and <shown>

    Examples:
      | field     | value             | named            | shown   |
      | novelty   | nested too deeply | (body)           | nested  |
      | wave      | 10^30             | (body).wave      | 1000000 |
      | deadlineS | 1e300             | (body).deadlineS | 1e+300  |
      | maxCount  | 0                 | (body).maxCount  | 0       |

  Scenario Outline: An odd announcement is refused
    When the announcement's <field> is <value>
    Then the refusal names <named> and <shown>

    Examples:
      | field              | value             | named              | shown   |
      | novelty            | nested too deeply | (whole input)      | recursion |
      | boot_started_at_ms | 10^30             | boot_started_at_ms | 1000000 |
      | sequence           | 10^30             | sequence           | 1000000 |
      | cpu_cores          | 1e300             | cpu_cores          | 1e+300  |
      | address            | "10.0.0.9:0"      | address            | :0      |
      | address            | "10.0.0.9:²"      | address            | 65535   |
      | address            | "a b:80"          | address            | a b     |

  # Guards against digits that aren't ASCII, or too many of them, which end in
  # an error instead of an answer.
  Scenario Outline: An odd deadline of a call is bounded
    When a call's Deadline-Ms is <text>
    Then its deadline is <wanted>

    Examples:
      | text         | wanted       |
      | 1050         | 1 s          |
      | ²            | the default  |
      | ٣            | the default  |
      | -1           | the default  |
      | 5000 digits  | the longest  |

  # Guards against a call that can't be passed on, and hides others sent with it.
  Scenario Outline: A call with an odd host is refused
    When a call's Host is <host>
    Then it is answered <status> and passed on <count> times

    Examples:
      | host            | status | count |
      | jobs.example    | 200    | 1     |
      | jobs.example:80 | 200    | 1     |
      | [::1]:80        | 200    | 1     |
      | a b             | 400    | 0     |
      | \udcff          | 400    | 0     |
      | [::1            | 400    | 0     |

  Scenario Outline: The number in a path is read as ASCII digits only
    When the path names the number <text>
    Then it is <wanted>

    Examples:
      | text              | wanted  |
      | 12                | 12      |
      | 0012              | 12      |
      | ²                 | no number |
      | ٣                 | no number |
      | 9007199254740992  | no number |
      | 5000 digits       | no number |

  # Guards against a key that can't be passed on, by which its call gets no answer.
  Scenario Outline: An odd idempotency key or time of it is refused
    When a call has the key <key> of the time <time>
    Then the refusal names <named> and <shown>

    Examples:
      | key    | time        | named                           | shown     |
      | \udcff | 5           | Idempotency-Key                 | printable |
      | abc    | ²           | Greengagering-Key-Issued-At-Ms  | Unix time |
      | abc    | 5000 digits | Greengagering-Key-Issued-At-Ms  | Unix time |
