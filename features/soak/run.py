"""Plays seeds of the soak, and tells which promises were broken.

Run "python -m features.soak.run --first=1 --count=50". A seed draws the
faults; real processes never run twice alike, so a broken promise is told with
the account of its faults and with every process's log, which are kept.
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
from features.soak._callers import SoakCallers
from features.soak._faults import FaultInjector
from features.soak._system import SoakSystem
from features.support import platform_world

SHAKEN_S = 15.0
"""Time in which faults come."""

FAULT_INTERVAL_S = 0.7
"""Mean time between two faults."""

CALM_S = 40.0
"""Time after the last fault in which all work must be done."""

POLL_S = 0.2
LATE_ORDER_S = 0.6
"""Longest time that an order may be under way here: its time-out."""

MOST_SHOWN = 10
MEMORY_MB = 200
"""Most memory of a process: the smallest machine of the users' sheets."""


@dataclasses.dataclass(frozen=True)
class SoakResult:
    """What a seed has exercised, and which promises were broken."""

    violations: list[str]
    accepted: int
    cancelled: int
    done: int
    acknowledged: int
    faults: int


def play(seed: int, folder: pathlib.Path) -> SoakResult:
    """Play one seed.

    Args:
        seed: what is drawn.
        folder: place for data, settings, logs and the account of faults.
    """
    rng = random.Random(seed)
    system = SoakSystem(folder)
    try:
        system.start_all()
        body = platform_world.configuration(3)
        answer = system.call_leader('POST', '/config/replace', body)
        assert answer.status in (200, 307), answer
        callers = SoakCallers(system, rng)
        system.thread.run(callers.warm_up())
        injector = FaultInjector(system, random.Random(seed + 1))
        playing = system.thread.start(callers.play(SHAKEN_S))
        ends_s = time.monotonic() + SHAKEN_S
        while time.monotonic() < ends_s:
            _note_own_ends(system, callers)
            injector.step()
            time.sleep(rng.uniform(0.2, 1.8) * FAULT_INTERVAL_S)
        injector.end_all()
        for name in sorted(system.ended_by_us):
            system.restart_stopped(name)
        playing.result(CALM_S)
        system.thread.run(_settle(system, callers))
        _check_end(system, callers)
        account = [*injector.account, *callers.violations]
        (folder / 'account.txt').write_text('\n'.join(sorted(account)))
        return SoakResult(
            violations=callers.violations,
            accepted=sum(j.accepted_at_s is not None for j in callers.jobs),
            cancelled=sum(j.cancelled_at_s is not None for j in callers.jobs),
            done=len(system.ledger.done_tasks),
            acknowledged=len(callers.acknowledged),
            faults=len(injector.account),
        )
    finally:
        system.close()


def _note_own_ends(system: SoakSystem, callers: SoakCallers) -> None:
    for name, process in system.processes.items():
        code = process.poll()
        if code is None or name in system.ended_by_us:
            continue
        # A replica whose folder can't be written to at its start ends with
        # an error, and is started again.
        if name not in system.full_disks:
            callers.violate(f'{name} ended by itself with {code}')
        system.start(name)


async def _settle(system: SoakSystem, callers: SoakCallers) -> None:
    """Wait until every accepted job is done, or the time for it is over."""
    ends_s = time.monotonic() + CALM_S
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
            callers.violate(f'accepted {job.job_id} is shown as {shown}')
        while time.monotonic() < ends_s and system.ledger.running:
            await asyncio.sleep(POLL_S)
        read = None
        while read is None and time.monotonic() < ends_s:
            read = await callers.read_version(session)
        if read is None:
            callers.violate('the configuration is not read back')


def _check_end(system: SoakSystem, callers: SoakCallers) -> None:
    for worker in system.workers:
        for violation in worker.violations:
            callers.violate(violation)
    _check_jobs(system, callers)
    if system.ledger.running:
        callers.violate(f'still running: {sorted(system.ledger.running)}')
    for name, process in system.processes.items():
        status = pathlib.Path(f'/proc/{process.pid}/status').read_text()
        peak = next(x for x in status.splitlines() if x.startswith('VmHWM'))
        if int(peak.split()[1]) > MEMORY_MB * 1024:
            callers.violate(f'{name} held {peak}')
    if 'event=step_failed' in ''.join(map(system.log_of, system.processes)):
        callers.violate('a step failed')


def _check_jobs(system: SoakSystem, callers: SoakCallers) -> None:
    for job in callers.jobs:
        started = [
            name
            for name in system.ledger.starts
            if name.startswith(f'{job.job_id}.')
        ]
        is_rejected = job.accepted_at_s is None and not job.is_unclear
        if is_rejected and started:
            callers.violate(f'rejected {job.job_id} has run')
        if job.cancelled_at_s is not None:
            late = [
                name
                for name in started
                if system.ledger.starts[name][-1]
                > job.cancelled_at_s + CANCEL_S + LATE_ORDER_S
            ]
            if late:
                callers.violate(f'{late} started after its cancel')


def main(first: int = 1, count: int = 1, keep: str = '') -> None:
    """Play seeds one after the other; exit 1 if a promise was broken.

    Args:
        first: the first seed.
        count: how many.
        keep: folder for the logs of seeds that broke a promise.
    """
    broken = 0
    for seed in range(first, first + count):
        folder = pathlib.Path(
            tempfile.mkdtemp(prefix=f'soak-{seed}-', dir=keep or None)
        )
        result = play(seed, folder)
        broken += bool(result.violations)
        print(
            f'seed {seed}: {len(result.violations)} broken; {result.faults} '
            f'faults, {result.accepted} jobs accepted, {result.cancelled} '
            f'cancelled, {result.done} tasks done, {result.acknowledged} '
            f'configurations; {folder}',
            flush=True,
        )
        for violation in result.violations[:MOST_SHOWN]:
            print(f'  {violation}', flush=True)
    print(f'{count - broken} passed, {broken} failed', flush=True)
    if broken:
        raise SystemExit(1)


if __name__ == '__main__':
    fire.Fire(main)
