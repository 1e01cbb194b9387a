"""Runs seeds of the soak test and reports the violated guarantees.

Run "python -m features.soak.run --first=1 --count=50". The seed determines the
faults. Runs of separate processes can't be reproduced exactly, so the history
of the faults and the log of every process are kept with each report.
"""

import asyncio
import dataclasses
import pathlib
import random
import tempfile
import time

import aiohttp
import fire

from features.soak._callers import CANCEL_S
from features.soak._callers import FIRST_VERSION
from features.soak._callers import SoakCallers
from features.soak._callers import write_configuration
from features.soak._faults import FaultInjector
from features.soak._system import SoakSystem

FAULTS_S = 15.0
"""Time during which faults are injected."""

FAULT_INTERVAL_S = 0.7
"""Mean interval between two faults."""

RECOVERY_TIMEOUT_S = 40.0
"""Longest time from the last fault until all work is done."""

POLL_S = 0.2
LATE_ORDER_S = 0.6
"""Longest time that an order can be in transit in this test: ORDER_TIMEOUT_S
of the platform's worker calls, and 0.1 s more."""

MAX_SHOWN = 10
MEMORY_MB = 200
"""Memory limit of a process: that of the smallest machine of the users."""


@dataclasses.dataclass(frozen=True)
class SoakResult:
    """Counts of what a seed exercised, and the violated guarantees."""

    violations: list[str]
    accepted: int
    cancelled: int
    done: int
    acknowledged: int
    faults: int
    intrusions: int


def play(seed: int, folder: pathlib.Path) -> SoakResult:
    """Run one seed.

    Args:
        seed: seed of the random choices.
        folder: folder for data, settings, logs and the history of faults.
    """
    rng = random.Random(seed)
    system = SoakSystem(folder)
    try:
        system.start_all()
        body = write_configuration(FIRST_VERSION)
        answer = system.call_leader('POST', '/config/replace', body)
        assert answer.status in (200, 307), answer
        callers = SoakCallers(system, rng)
        system.thread.run(callers.warm_up())
        injector = FaultInjector(system, random.Random(seed + 1))
        playing = system.thread.start(callers.play(FAULTS_S))
        ends_s = time.monotonic() + FAULTS_S
        while time.monotonic() < ends_s:
            _restart_ended(system, callers)
            injector.step()
            time.sleep(rng.uniform(0.2, 1.8) * FAULT_INTERVAL_S)
        injector.end_all()
        for name in sorted(system.ended_by_faults):
            system.restart_stopped(name)
        playing.result(RECOVERY_TIMEOUT_S)
        system.thread.run(_wait_until_done(system, callers))
        _check_end(system, callers)
        history = [*injector.history, *callers.violations]
        (folder / 'account.txt').write_text('\n'.join(sorted(history)))
        return SoakResult(
            violations=callers.violations,
            accepted=sum(j.accepted_at_s is not None for j in callers.jobs),
            cancelled=sum(j.cancelled_at_s is not None for j in callers.jobs),
            done=len(system.ledger.done_tasks),
            acknowledged=len(callers.acknowledged),
            faults=len(injector.history),
            intrusions=callers.intrusions,
        )
    finally:
        system.close()


def _restart_ended(system: SoakSystem, callers: SoakCallers) -> None:
    for name, process in system.processes.items():
        code = process.poll()
        if code is None or name in system.ended_by_faults:
            continue
        # A replica that can't write to its data folder at its start exits
        # with an error, which is no violation.
        if name not in system.full_disks:
            callers.record_violation(f'{name} ended by itself with {code}')
        system.start(name)


async def _wait_until_done(system: SoakSystem, callers: SoakCallers) -> None:
    """Wait for all accepted jobs, and record what is not done in time."""
    ends_s = time.monotonic() + RECOVERY_TIMEOUT_S
    left = [
        job
        for job in callers.jobs
        if job.accepted_at_s is not None and not job.is_cancel_sent
    ]
    async with aiohttp.ClientSession() as session:
        while left and time.monotonic() < ends_s:
            await asyncio.sleep(POLL_S)
            states = {
                job.job_id: await callers.show(session, job, 'entry-1')
                for job in left
            }
            left = [j for j in left if states[j.job_id] != 'succeeded']
        for job in left:
            shown = await callers.show(session, job, 'entry-1')
            callers.record_violation(
                f'accepted {job.job_id} is shown as {shown}'
            )
        while time.monotonic() < ends_s and system.ledger.running:
            await asyncio.sleep(POLL_S)
        read = None
        while read is None and time.monotonic() < ends_s:
            read = await callers.read_version(session)
        if read is None:
            callers.record_violation('the configuration is not read back')


def _check_end(system: SoakSystem, callers: SoakCallers) -> None:
    for worker in system.workers:
        for violation in worker.violations:
            callers.record_violation(violation)
    _check_jobs(system, callers)
    if system.ledger.running:
        callers.record_violation(
            f'still running: {sorted(system.ledger.running)}'
        )
    for name, process in system.processes.items():
        status = pathlib.Path(f'/proc/{process.pid}/status').read_text()
        peak = next(x for x in status.splitlines() if x.startswith('VmHWM'))
        if int(peak.split()[1]) > MEMORY_MB * 1024:
            callers.record_violation(f'{name} held {peak}')
    if 'event=step_failed' in ''.join(map(system.log_of, system.processes)):
        callers.record_violation('a step failed')


def _check_jobs(system: SoakSystem, callers: SoakCallers) -> None:
    for job in callers.jobs:
        started = [
            name
            for name in system.ledger.starts
            if name.startswith(f'{job.job_id}.')
        ]
        is_rejected = job.accepted_at_s is None and not job.is_outcome_unknown
        if is_rejected and started:
            callers.record_violation(f'rejected {job.job_id} has run')
        if job.cancelled_at_s is not None:
            late = [
                name
                for name in started
                if system.ledger.starts[name][-1]
                > job.cancelled_at_s + CANCEL_S + LATE_ORDER_S
            ]
            if late:
                callers.record_violation(f'{late} started after its cancel')


def main(first: int = 1, count: int = 1, keep: str = '') -> None:
    """Run seeds one after the other; exit 1 if a guarantee was violated.

    Args:
        first: the first seed.
        count: number of seeds.
        keep: parent folder for the data and logs of each seed.
    """
    broken = 0
    for seed in range(first, first + count):
        folder = pathlib.Path(
            tempfile.mkdtemp(prefix=f'soak-{seed}-', dir=keep or None)
        )
        result = play(seed, folder)
        broken += bool(result.violations)
        print(
            f'seed {seed}: {len(result.violations)} violations; '
            f'{result.faults} faults, {result.accepted} jobs accepted, '
            f'{result.cancelled} cancelled, {result.done} tasks done, '
            f'{result.acknowledged} configurations, '
            f'{result.intrusions} calls refused for their key; {folder}',
            flush=True,
        )
        for violation in result.violations[:MAX_SHOWN]:
            print(f'  {violation}', flush=True)
    print(f'{count - broken} passed, {broken} failed', flush=True)
    if broken:
        raise SystemExit(1)


if __name__ == '__main__':
    fire.Fire(main)
