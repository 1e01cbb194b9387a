"""Fakes of VMs, their calls and their reboots."""

from collections.abc import Callable
import dataclasses
import random

from greengagering import coordination
from greengagering import state

ANNOUNCE_S = 0.5
REBOOT_S = 0.6
SLOTS = 2


@dataclasses.dataclass
class FakeCall:
    """A call between an entry and a VM.

    Attributes:
        call: the call, as its entry knows it.
        target: the upstream to which it was sent.
        entry_boot: boot id of the entry's process that sent it.
        arrives_s: simulated time at which it reaches the VM.
        ends_s: simulated time at which the VM completes it.
        is_running: whether the VM has accepted it.
    """

    call: coordination.Call
    target: coordination.Target
    entry_boot: str
    arrives_s: float
    ends_s: float
    is_running: bool = False


class FakeVm:
    """A VM that announces itself and runs calls."""

    def __init__(self, name: str, pool: str, rng: random.Random) -> None:
        self.name = name
        self.pool = pool
        self.calls: list[FakeCall] = []
        self.boots = 0
        self.interrupted_calls = 0
        self.reboots: list[str] = []
        self.up_at_s = 0.0
        self.is_up = False
        self._rng = rng
        self._sequence = 0
        self._announce_at_s = 0.0

    @property
    def boot_id(self) -> str:
        """Boot id of the current boot."""
        return f'{self.name}-boot-{self.boots}'

    def in_flight(self) -> int:
        """Return the number of calls that the VM runs."""
        return sum(call.is_running for call in self.calls)

    def reboot(self, operation_id: str, now_s: float) -> None:
        """Reboot the VM, once for each operation id."""
        if operation_id in self.reboots:
            return
        self.reboots.append(operation_id)
        self.interrupted_calls += self.in_flight()
        self.calls.clear()
        self.is_up = False
        self.up_at_s = now_s + REBOOT_S

    def advance(
        self, now_s: float, finish: Callable[[FakeCall, bool], None]
    ) -> None:
        """Boot when due, accept or refuse new calls, and complete calls."""
        if not self.is_up and now_s >= self.up_at_s:
            self.is_up = True
            self.boots += 1
            self._sequence = 0
        for call in list(self.calls):
            if not call.is_running and now_s >= call.arrives_s:
                call.is_running = self._accepts(call)
                if not call.is_running:
                    self.calls.remove(call)
                    finish(call, False)
                    continue
            if call.is_running and now_s >= call.ends_s:
                self.calls.remove(call)
                finish(call, True)

    def announcement(self, now_s: float) -> coordination.Upstream | None:
        """Return the announcement that is due, or None."""
        if not self.is_up or now_s < self._announce_at_s:
            return None
        self._announce_at_s = now_s + ANNOUNCE_S
        self._sequence += 1
        return coordination.Upstream(
            vm=self.name,
            pool=self.pool,
            address=f'{self.name}:80',
            facts=state.VmFacts('dc-1', 'rack-1', SLOTS, 64),
            boot_id=self.boot_id,
            boot_started_at_ms=self.boots,
            sequence=self._sequence,
            state=coordination.UpstreamState.UP,
        )

    def _accepts(self, call: FakeCall) -> bool:
        is_same_boot = call.target.boot_id == self.boot_id
        return self.is_up and is_same_boot and self.in_flight() < SLOTS
