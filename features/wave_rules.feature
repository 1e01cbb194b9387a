Feature: Rules of waves whose timing real processes seldom reproduce

  Scenario: An upstream that restarts by itself while it drains is still rebooted
    Given vm-1 drains for a wave since boot a
    When vm-1 has restarted as boot b and is idle
    Then it is to be rebooted
    When still boot b announces itself
    Then the reboot is ordered and vm-1 is not counted as done
    When boot c announces itself
    Then vm-1 is counted as done

  Scenario: A draining upstream that was idle before the drain was in force is not rebooted
    Given vm-1 drains for a wave since boot a
    When vm-1 was idle before the drain was in force everywhere
    Then nothing is decided and vm-1 waits
