"""Callers and an operator that use the system while faults are injected."""

import asyncio
import contextlib
import dataclasses
import json
import random
import time
from typing import Any

import aiohttp

from features.soak._system import SoakSystem
from features.support import platform_workers
from features.support import platform_world

FIRST_VERSION = 3
CALLERS = 4
CALL_TIMEOUT_S = 3.0
RETRY_TIMEOUT_S = 9.0
"""Time for which a failed request is repeated."""

PAUSE_S = 0.25
"""Longest pause of a caller between two calls."""

RETRY_S = (0.05, 0.5)
"""Range of the pause before a request is repeated."""

VISIBLE_S = 3.0
"""Longest time from a job's acceptance until every entry knows it."""

CANCEL_S = 3.0
"""Longest time from a cancel's acknowledgement until no task of the job is
started, not counting LATE_ORDER_S of run.py."""

APPLY_S = 2.0
"""Longest time from a configuration's acknowledgement until no read returns an
older one."""

OWN_KEY = 'soak-own'
"""Key of the customer that hands the jobs in; no configuration takes it away.
Beside it the customer has the keys of the present version and of the one
before, so that each version takes a key away."""

OTHER_KEY = 'soak-other'
"""Key of another customer."""

CHANGE_INTERVAL_S = 1.5
WARM_UP_JOBS = 3


def write_configuration(version: int, former: int = 0) -> bytes:
    """Return a version's configuration, with its keys and the former one's."""
    keys = [OWN_KEY, _version_key(version)]
    if former:
        keys.append(_version_key(former))
    held = {'owner': keys, 'other': [OTHER_KEY]}
    return platform_world.configuration(version, f'/v{version}/', keys=held)


def _version_key(version: int) -> str:
    return f'soak-{version}'


@dataclasses.dataclass
class SoakJob:
    """A job as its caller sees it.

    Attributes:
        job_id: id of the job.
        body: request body of the submission.
        accepted_at_s: time at which the submission was acknowledged, or None.
        is_outcome_unknown: whether an attempt to submit it got no definite
            answer, so that it may have been accepted.
        cancelled_at_s: time at which its cancel was acknowledged, or None.
        is_cancel_sent: whether a cancel was sent.
    """

    job_id: str
    body: bytes
    accepted_at_s: float | None = None
    is_outcome_unknown: bool = False
    cancelled_at_s: float | None = None
    is_cancel_sent: bool = False


class SoakCallers:
    """Sends requests of callers and an operator, and checks the guarantees."""

    def __init__(self, system: SoakSystem, rng: random.Random) -> None:
        self._system = system
        self._rng = rng
        self.jobs: list[SoakJob] = []
        self.violations: list[str] = []
        self.acknowledged: list[tuple[float, int]] = []
        self.sent_versions: dict[int, bytes] = {}
        self._version = FIRST_VERSION
        self.withdrawn: list[tuple[float, str]] = []
        self.intrusions = 0

    async def play(self, seconds: float) -> None:
        """Send random requests for a time."""
        ends_s = time.monotonic() + seconds
        await asyncio.gather(
            *(self._call(ends_s) for _ in range(CALLERS)),
            self._intrude(ends_s),
            self._operate(ends_s),
        )

    async def warm_up(self) -> None:
        """Send requests of each kind before the first fault."""
        async with aiohttp.ClientSession() as session:
            for _ in range(WARM_UP_JOBS):
                await self._submit(session)
            await self._cancel(session, self.jobs[0])
            await self._change_configuration(session)

    def record_violation(self, text: str) -> None:
        """Record a violated guarantee."""
        self.violations.append(f'{time.monotonic():.3f} {text}')

    async def _call(self, ends_s: float) -> None:
        async with aiohttp.ClientSession() as session:
            while time.monotonic() < ends_s:
                draw = self._rng.random()
                if draw < 0.5 or not self.jobs:
                    await self._submit(session)
                elif draw < 0.9:
                    await self._query(session, self._rng.choice(self.jobs))
                else:
                    await self._cancel(session, self._rng.choice(self.jobs))
                await asyncio.sleep(self._rng.uniform(0, PAUSE_S))

    async def _submit(self, session: aiohttp.ClientSession) -> None:
        job_id = f'{len(self.jobs) + 1:016x}'
        steps: list[dict[str, Any]] = [
            {'count': self._rng.randint(1, 4), 'cpu': 500, 'estMs': 600},
        ]
        if self._rng.random() < 0.4:
            steps.append({'count': 2, 'cpu': 500, 'estMs': 600, 'after': [0]})
        body = platform_workers.job_body(*steps)
        platform_workers.register_job(self._system.ledger, job_id, body)
        job = SoakJob(job_id, body)
        self.jobs.append(job)
        gives_up_s = time.monotonic() + RETRY_TIMEOUT_S
        while time.monotonic() < gives_up_s:
            status = await self._send(session, 'POST', job, job.body)
            if status == 200:
                job.accepted_at_s = time.monotonic()
                return
            if status not in (429, 503):
                job.is_outcome_unknown = True
            await asyncio.sleep(self._rng.uniform(*RETRY_S))

    async def _query(
        self, session: aiohttp.ClientSession, job: SoakJob
    ) -> None:
        sent_s = time.monotonic()
        status = await self._send(session, 'GET', job)
        accepted_s = job.accepted_at_s
        if (
            status == 410
            and accepted_s is not None
            and not job.is_cancel_sent
            and sent_s > accepted_s + VISIBLE_S
        ):
            self.record_violation(f'accepted {job.job_id} is answered 410')

    async def _intrude(self, ends_s: float) -> None:
        """Make calls about jobs with keys that must not work for them."""
        async with aiohttp.ClientSession() as session:
            while time.monotonic() < ends_s:
                await self._intrude_once(session, self._rng.choice(self.jobs))
                await asyncio.sleep(self._rng.uniform(0, PAUSE_S))

    async def _intrude_once(
        self, session: aiohttp.ClientSession, job: SoakJob
    ) -> None:
        if job.accepted_at_s is None:
            # Another customer may hand in a job of the same id first.
            return
        due_s = time.monotonic() - APPLY_S
        keys = [key for at_s, key in self.withdrawn if at_s < due_s]
        key = self._rng.choice([OTHER_KEY, '', *keys])
        method, body = self._rng.choice(
            (('GET', None), ('POST', job.body), ('DELETE', None))
        )
        status = await self._send(session, method, job, body, key)
        self.intrusions += status in (401, 410)
        if status == 200 or (status == 410 and key != OTHER_KEY):
            self.record_violation(
                f'{method} {job.job_id} with key {key!r} got {status}'
            )

    async def _cancel(
        self, session: aiohttp.ClientSession, job: SoakJob
    ) -> None:
        job.is_cancel_sent = True
        if await self._send(session, 'DELETE', job) == 200:
            job.cancelled_at_s = job.cancelled_at_s or time.monotonic()

    async def show(
        self, session: aiohttp.ClientSession, job: SoakJob, entry: str
    ) -> str:
        """Return a job's state, or the HTTP status if it is not 200."""
        status, content = await self._request(session, 'GET', job, entry)
        return str(json.loads(content)['state'] if status == 200 else status)

    async def _send(
        self,
        session: aiohttp.ClientSession,
        method: str,
        job: SoakJob,
        body: bytes | None = None,
        key: str = OWN_KEY,
    ) -> int:
        entries = [n for n in self._system.proxies if n.startswith('entry')]
        entry = self._rng.choice(entries)
        status, _ = await self._request(session, method, job, entry, body, key)
        if status == 401 and key == OWN_KEY:
            self.record_violation(f'{method} {job.job_id}: own key refused')
        return status

    async def _request(
        self,
        session: aiohttp.ClientSession,
        method: str,
        job: SoakJob,
        entry: str,
        body: bytes | None = None,
        key: str = OWN_KEY,
    ) -> tuple[int, bytes]:
        """Send a request; return status 0 if there was no response."""
        address = self._system.address_of(entry)
        url = f'http://{address}{platform_world.PREFIX}{job.job_id}'
        fields = {'Host': platform_world.HOST}
        if key:
            fields['Authorization'] = f'Token {key}'
        with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
            async with asyncio.timeout(CALL_TIMEOUT_S):
                async with session.request(
                    method, url, data=body, headers=fields
                ) as response:
                    content = await response.read()
                    if response.status in (429, 503) and not (
                        response.headers.get('Retry-After')
                    ):
                        self.record_violation(
                            f'{response.status} has no Retry-After'
                        )
                    return response.status, content
        return 0, b''

    async def _operate(self, ends_s: float) -> None:
        async with aiohttp.ClientSession() as session:
            while time.monotonic() < ends_s:
                await self._change_configuration(session)
                await self.read_version(session)
                await asyncio.sleep(
                    self._rng.uniform(0.2, 1) * CHANGE_INTERVAL_S
                )

    async def _change_configuration(
        self, session: aiohttp.ClientSession
    ) -> None:
        former = self._version
        self._version += self._rng.randint(1, 3)
        version = self._version
        body = write_configuration(version, former)
        earlier = [v for v in self.sent_versions if v < former]
        self.sent_versions[version] = body
        if await self._replace(session, body):
            self.acknowledged.append((time.monotonic(), version))
            self.withdrawn += [
                (time.monotonic(), _version_key(v)) for v in earlier
            ]

    async def _replace(
        self, session: aiohttp.ClientSession, body: bytes
    ) -> bool:
        gives_up_s = time.monotonic() + RETRY_TIMEOUT_S
        while time.monotonic() < gives_up_s:
            url = f'http://{self._pick_control()}/config/replace'
            with contextlib.suppress(
                aiohttp.ClientError, TimeoutError, OSError
            ):
                async with asyncio.timeout(CALL_TIMEOUT_S):
                    async with session.post(url, data=body) as response:
                        if response.status == 200:
                            return True
                        if 400 <= response.status < 500:
                            self.record_violation(f'refused {response.status}')
                            return False
            await asyncio.sleep(self._rng.uniform(*RETRY_S))
        return False

    async def read_version(self, session: aiohttp.ClientSession) -> int | None:
        """Read the configuration, and check that it is not outdated."""
        sent_s = time.monotonic()
        url = f'http://{self._pick_control()}/config/read'
        with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
            async with asyncio.timeout(CALL_TIMEOUT_S):
                async with session.get(url) as response:
                    content = await response.read()
                    if response.status == 200:
                        return self._check_read(content, sent_s)
        return None

    def _check_read(self, content: bytes, sent_s: float) -> int:
        version: int = json.loads(content)['version']
        due = [v for at_s, v in self.acknowledged if sent_s > at_s + APPLY_S]
        if due and version < max(due):
            self.record_violation(
                f'read {version} after {max(due)} was acknowledged'
            )
        sent = self.sent_versions.get(version)
        if sent is not None and sent != content:
            self.record_violation(
                f'version {version} is not read back as sent'
            )
        return version

    def _pick_control(self) -> str:
        return self._rng.choice(self._system.seeds)
