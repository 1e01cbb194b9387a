@split
Feature: A maintenance wave reboots VMs without interrupting calls

  Background:
    Given 3 control replicas and 2 entries
    And upstreams vm-1, vm-2 and vm-3 announce pool dispatch-pool to any entry
    And ticket 1 puts pool dispatch-pool for service dispatch in force

  Scenario: A wave interrupts no call and keeps the availability budget
    Given callers call service dispatch all the time
    When ticket 2 asks for a wave over pool dispatch-pool with 2 VMs available
    Then the wave finishes with vm-1, vm-2 and vm-3 done
    And every call of the callers was answered completely
    And no upstream was rebooted with a call in flight
    And each VM was rebooted once by one operation
    And at no time were fewer than 2 VMs in service
    And explain vm-2 lists each phase with ticket 2

  Scenario: A wave waits for a long call before it reboots
    When a call of 2500 ms runs at vm-1
    And ticket 2 asks for a wave over VM vm-1
    Then the wave finishes with vm-1 done
    And the long call was answered completely
    And no upstream was rebooted with a call in flight

  Scenario: A wave waits while the availability budget allows no drain
    When ticket 2 asks for a wave over pool dispatch-pool with 3 VMs available
    Then the wave waits because service dispatch must keep 3
    When ticket 3 lowers the budget of dispatch to 2
    Then the wave finishes with vm-1, vm-2 and vm-3 done

  Scenario: A paused wave drains no VM until it is resumed
    When ticket 2 asks for a paused wave over pool dispatch-pool
    And ticket 3 resumes the wave
    Then the wave finishes with vm-1, vm-2 and vm-3 done
    And no VM was drained before ticket 3

  Scenario: A VM that does not return after its reboot stops the wave
    Given vm-1 will not announce itself after its reboot
    When ticket 2 asks for a wave over pool dispatch-pool with a return timeout of 1 s
    Then the wave stops and names vm-1
    And vm-2 and vm-3 were not rebooted

  Scenario: No VM is rebooted twice when the leader is killed during a wave
    When ticket 2 asks for a wave over pool dispatch-pool with 2 VMs available
    And the leader is killed once a VM is rebooting
    Then the wave finishes with vm-1, vm-2 and vm-3 done
    And each VM was rebooted once by one operation
