"""Measures memory and processor time of the cores by fleet size.

The cores run in one process with a fake disk and network, so that the figures
cover only their state and decisions.
"""

import random
import resource
import subprocess
import sys
import time

import fire
from result import Ok

from benchmarks import report
from features.search import fakes
from greengagering import coordination
from greengagering.protocol import links
from greengagering import state

SIZES = (40, 400, 4000, 13000)
POOL_COUNT = 32
DATA_CENTRE_COUNT = 13
RACK_SIZE = 4
ROUNDS = 5
TICKET_COUNT = 300
MICROSECONDS = 1e6


class ControlBench:
    """A single replica that is the leader of a fleet of a given size."""

    def __init__(self, size: int) -> None:
        self.size = size
        self.now_s = 0.0
        self.core = fakes.lone_control()
        self.advance(3.0)
        self.submit(_pools_ticket(size))
        self.report_all()

    def advance(self, seconds: float) -> None:
        """Advance the virtual time."""
        ends_s = self.now_s + seconds
        while self.now_s < ends_s:
            self.now_s += 0.1
            self.core.step(self.now_s, int(self.now_s * 1000))
            self.core.take_entry_outbox()
            self.core.take_outcomes()

    def submit(self, ticket: state.Ticket) -> None:
        """Submit a ticket, which must be accepted."""
        done = self.core.submit(ticket, 1, self.now_s)
        assert done.is_ok(), done
        self.core.step(self.now_s, int(self.now_s * 1000))

    def report_all(self) -> None:
        """Report every VM from an entry, as after an election."""
        names = [f'vm-{n}' for n in range(self.size)]
        for start in range(0, self.size, 500):
            batch = [_status(name) for name in names[start : start + 500]]
            self.report(tuple(batch))
            self.advance(0.1)

    def report(
        self, statuses: tuple[coordination.UpstreamStatus, ...] = ()
    ) -> None:
        """Process one report of an entry."""
        report_message = coordination.EntryReport(
            entry_id='entry-1',
            boot_id='boot',
            address='10.0.0.1:7100',
            applied_revision=self.core.feed.revision,
            sent_at_s=self.now_s,
            busy_vms=(),
            statuses=statuses,
        )
        self.core.handle_entry_report(report_message, self.now_s)
        self.core.take_entry_outbox()


def _vm_facts(number: int) -> state.VmFacts:
    return state.VmFacts(
        data_centre=f'dc-{number % DATA_CENTRE_COUNT}',
        rack=f'rack-{number // RACK_SIZE}',
        slot_count=8,
        connection_count=64,
        cpu_cores=32,
        memory_mb=131072,
    )


def _upstream(name: str) -> coordination.Upstream:
    number = int(name.removeprefix('vm-'))
    return coordination.Upstream(
        vm=name,
        pool=f'pool-{number % POOL_COUNT}',
        address=f'10.1.{number // 250}.{number % 250}:8080',
        facts=_vm_facts(number),
        boot_id=f'boot-of-{name}-1',
        boot_started_at_ms=1_700_000_000_000,
        sequence=1,
        state=coordination.UpstreamState.UP,
    )


def _status(name: str) -> coordination.UpstreamStatus:
    return coordination.UpstreamStatus(_upstream(name), 0, 0, 0.0)


def _pools_ticket(size: int) -> state.Ticket:
    pools = []
    budgets = []
    for pool in range(POOL_COUNT):
        vms = tuple(f'vm-{n}' for n in range(pool, size, POOL_COUNT))
        pools.append(state.Pool(f'pool-{pool}', f'service-{pool}', vms))
        budgets.append(state.Budget(f'service-{pool}', len(vms) * 9 // 10))
    return state.Ticket(1, 'operator', 'set up', tuple(pools), tuple(budgets))


def _wave_ticket(size: int) -> state.Ticket:
    pools = tuple(f'pool-{n}' for n in range(POOL_COUNT))
    wave = state.Wave(
        'bench', pools=pools, max_parallel_vms=max(1, size // 20)
    )
    return state.Ticket(2, 'operator', 'maintain', waves=(wave,))


def _resident_mb() -> float:
    with open('/proc/self/statm') as statm:
        pages = int(statm.read().split()[1])
    return pages * resource.getpagesize() / 2**20


def _mean_us(action, rounds: int = ROUNDS) -> float:  # type: ignore[no-untyped-def]
    """Return the mean processor time of an action in microseconds."""
    started = time.process_time()
    for _ in range(rounds):
        action()
    return (time.process_time() - started) / rounds * MICROSECONDS


def measure_control(size: int) -> list[report.Figure]:
    """Measure the leader's state and decisions at a fleet size."""
    before_mb = _resident_mb()
    bench = ControlBench(size)
    figures = [
        report.Figure(
            f'control state, {size} VMs', _resident_mb() - before_mb, 'MB'
        )
    ]
    core = bench.core
    figures.append(
        report.Figure(
            f'control step without a wave, {size} VMs',
            _mean_us(lambda: bench.advance(0.1), 20),
            'us',
        )
    )
    figures.append(
        report.Figure(
            f'control takes an entry report, {size} VMs',
            _mean_us(bench.report, 200),
            'us',
        )
    )
    figures.append(
        report.Figure(
            f'fleet snapshot, {size} VMs',
            len(state.encode(core.state.fleet)) / 1000,
            'kB',
        )
    )
    numbers = iter(range(10, 10 + TICKET_COUNT))

    def accept() -> None:
        number = next(numbers)
        budget = state.Budget('service-1', number % 2)
        bench.submit(
            state.Ticket(number, 'operator', 'change', budgets=(budget,))
        )

    figures.append(
        report.Figure(
            f'ticket accepted by one replica, {size} VMs',
            _mean_us(accept, TICKET_COUNT),
            'us',
        )
    )
    bench.submit(_wave_ticket(size))
    figures.append(
        report.Figure(
            f'control step with a wave over all, {size} VMs',
            _mean_us(lambda: bench.advance(0.1), 20),
            'us',
        )
    )
    return figures


def _encoded_fleet(size: int) -> bytes:
    fleet = state.FleetState()
    ticket = _pools_ticket(size)
    submitted = state.TicketSubmitted(ticket, 'digest', 1)
    state.apply_to_fleet(fleet, 1, submitted)
    for number in range(size):
        pool = f'pool-{number % POOL_COUNT}'
        reported = state.VmReported(f'vm-{number}', pool, _vm_facts(number), 1)
        state.apply_to_fleet(fleet, number + 2, reported)
    return state.encode(fleet)


def measure_entry(size: int) -> list[report.Figure]:
    """Measure an entry's state and decisions at a fleet size."""
    revision = size + 1
    fleet = _encoded_fleet(size)
    upstreams = [_upstream(f'vm-{n}') for n in range(size)]
    before_mb = _resident_mb()
    identity = coordination.EntryIdentity('entry-1', 'boot', 'a:1', 'dc-1')
    core = coordination.EntryCore(identity, random.Random(1))
    core.receive('c', coordination.FeedSnapshot(revision, fleet), 0.0)
    core.receive('e', coordination.UpstreamChanges(tuple(upstreams)), 0.0)
    core.step(0.0)
    core.take_outbox()
    figures = [
        report.Figure(
            f'entry state, {size} VMs', _resident_mb() - before_mb, 'MB'
        )
    ]
    sequence = [1]

    def announce() -> None:
        sequence[0] += 1
        for upstream in upstreams[:400]:
            fields = (
                upstream.vm,
                upstream.boot_id,
                sequence[0],
                0,
                revision,
            )
            core.receive(
                'e',
                coordination.HeartbeatBatch(
                    (coordination.Heartbeat(*fields),)
                ),
                0.1,
            )

    count = min(size, 400)
    figures.append(
        report.Figure(
            f'entry takes a heartbeat, {size} VMs',
            _mean_us(announce) / count,
            'us',
        )
    )
    figures.append(
        report.Figure(
            f'entry rebuilds its routes, {size} VMs',
            _mean_us(lambda: core.dispatcher.rebuild(core.follower.fleet)),
            'us',
        )
    )
    figures.append(
        report.Figure(
            f'entry step, {size} VMs', _mean_us(lambda: core.step(0.2)), 'us'
        )
    )
    call_us = _mean_us(lambda: _call(core), 500)
    figures.append(
        report.Figure(f'entry admits a call, {size} VMs', call_us, 'us')
    )
    return figures


def _call(core: coordination.EntryCore) -> None:
    call = coordination.Call(
        'id', 'service-1', coordination.CallClass.URGENT, 10.0
    )
    submitted = core.dispatcher.submit(call, 0.0)
    assert isinstance(submitted, Ok)
    assignment = submitted.ok_value
    assert assignment is not None
    outcome = coordination.AttemptOutcome.ANSWERED
    core.dispatcher.release(call, assignment.target, outcome, 0.01, 0.0)


def measure_messages() -> list[report.Figure]:
    """Measure the size of the messages that are sent continuously."""
    revision = 123456
    beat = coordination.Heartbeat('vm-12345', 'ab' * 8, 99999, 3, revision)
    samples: dict[str, tuple[links.LinkMessage, int]] = {
        'heartbeat within a batch': (
            coordination.HeartbeatBatch((beat,) * 100),
            100,
        ),
        'entry report without news': (
            coordination.EntryReport(
                'entry-1', 'ab' * 8, '10.0.0.1:7100', revision, 1.5, (), ()
            ),
            1,
        ),
        'lease grant with 28 entries': (
            coordination.LeaseGrant(
                'control-1',
                7,
                'ab' * 8,
                1.5,
                1.8,
                revision,
                tuple(
                    coordination.EntryAddress(f'entry-{n}', '10.0.0.1:7100')
                    for n in range(28)
                ),
                True,
            ),
            1,
        ),
        'append without entries': (
            coordination.AppendRequest(7, revision, 7, (), revision, 1.5),
            1,
        ),
        'append response': (
            coordination.AppendResponse(7, True, revision, 0, 1.5),
            1,
        ),
        'upstream change': (
            coordination.UpstreamChanges((_upstream('vm-12345'),)),
            1,
        ),
        'table digest': (coordination.TableDigest((2**31,) * 64), 1),
    }
    return [
        report.Figure(
            name, links.encode_message(message).ByteSize() / count, 'bytes'
        )
        for name, (message, count) in samples.items()
    ]


PARTS = {'control': measure_control, 'entry': measure_entry}


def part(name: str, size: int) -> None:
    """Measure one part at one size; run calls this in a separate process.

    Args:
        name: control or entry.
        size: number of VMs in the fleet.
    """
    for figure in PARTS[name](size):
        print(f'{figure.name}\t{figure.value}\t{figure.unit}')


def run(json_path: str = '') -> None:
    """Measure every part at every size.

    Args:
        json_path: file for the figures; empty for none.
    """
    figures = []
    for name in PARTS:
        for size in SIZES:
            done = subprocess.run(
                [
                    sys.executable,
                    '-m',
                    'benchmarks.slopes',
                    'part',
                    name,
                    str(size),
                ],
                capture_output=True,
                text=True,
                check=True,
            )
            for line in done.stdout.splitlines():
                label, value, unit = line.split('\t')
                figures.append(report.Figure(label, float(value), unit))
    figures += measure_messages()
    report.report(figures, json_path)


if __name__ == '__main__':
    fire.Fire({'run': run, 'part': part})
