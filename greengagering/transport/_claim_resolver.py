"""Ensures that the work of an idempotency key runs at most once.

This holds across all entries.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import hashlib
import time
from typing import Generic
from typing import TypeVar

from greengagering import coordination
from greengagering import state

OUTCOME_REQUEST_INTERVAL_S = 0.5
"""Time after which an unanswered request for an outcome is sent again."""

KEY_HASH_BYTES = 16

Value = TypeVar('Value')


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedWork:
    """Work that a caller identified by an idempotency key.

    Attributes:
        key_id: hash of service and idempotency key.
        body_digest: hash of method, path and body.
        issued_at_ms: Unix time at which the caller made the key.
        deadline_s: time on this entry's monotonic clock until which the
            caller waits.
    """

    key_id: str
    body_digest: str
    issued_at_ms: int
    deadline_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class WorkPermit:
    """Permission to run the work once; its end must be reported."""

    key_id: str


Resolution = WorkPermit | coordination.KeptAnswer | coordination.RefusalReason


class _Waiters(Generic[Value]):
    """Futures by key; one message may answer several callers."""

    def __init__(self) -> None:
        self._futures: dict[str, list[asyncio.Future[Value]]] = {}

    async def wait(self, key_id: str, timeout_s: float) -> Value | None:
        """Return a key's message, or None if none arrives in time."""
        loop = asyncio.get_running_loop()
        future: asyncio.Future[Value] = loop.create_future()
        futures = self._futures.setdefault(key_id, [])
        futures.append(future)
        try:
            async with asyncio.timeout(max(0.0, timeout_s)):
                return await future
        except TimeoutError:
            return None
        finally:
            futures.remove(future)
            if not futures and self._futures.get(key_id) is futures:
                del self._futures[key_id]

    def resolve(self, key_id: str, value: Value) -> None:
        """Pass a message to all callers that wait for the key."""
        for future in self._futures.get(key_id, []):
            if not future.done():
                future.set_result(value)


class ClaimResolver:
    """Decides who runs a key's work; repeated calls share its answer."""

    def __init__(
        self, core: coordination.EntryCore, schedule_step: Callable[[], None]
    ) -> None:
        self._core = core
        self._schedule_step = schedule_step
        self._verdicts: _Waiters[state.ClaimAnswer] = _Waiters()
        self._outcomes: _Waiters[coordination.OutcomeResponse] = _Waiters()
        self._completions: _Waiters[bool] = _Waiters()

    async def resolve(self, work: KeyedWork) -> Resolution:
        """Return a permit, the stored answer, or the reason for a refusal."""
        self._core.claims.add_caller(work.key_id)
        try:
            held = self._core.claims.get(work.key_id)
            if held is not None:
                return await self._resolve_held(work, held)
            return await self._request_claim(work, taken_from='')
        finally:
            self._core.claims.remove_caller(work.key_id)
            self._schedule_step()

    def finish(
        self,
        permit: WorkPermit,
        outcome: coordination.WorkState,
        answer: coordination.KeptAnswer | None,
    ) -> None:
        """Record the outcome of work that had a permit."""
        self._core.claims.end(permit.key_id, outcome, answer)
        self._schedule_step()
        self._completions.resolve(permit.key_id, True)

    def receive_verdicts(self, response: coordination.ClaimResponse) -> None:
        """Process the leader's verdicts on requested claims."""
        if response.boot_id != self._core.identity.boot_id:
            return
        for answer in response.answers:
            if self._core.claims.record_verdict(answer, time.monotonic()):
                self._verdicts.resolve(answer.key_id, answer)

    def receive_outcome(self, response: coordination.OutcomeResponse) -> None:
        """Process another entry's report on work whose claim it holds."""
        self._outcomes.resolve(response.key_id, response)

    async def _resolve_held(
        self, work: KeyedWork, held: coordination.HeldClaim
    ) -> Resolution:
        if held.body_digest != work.body_digest:
            return coordination.RefusalReason.KEY_REUSED
        # Work that was refused without running may run again, by the first
        # of the callers that waited for it.
        while held.state is coordination.WorkState.RUNNING:
            left_s = work.deadline_s - time.monotonic()
            if not await self._completions.wait(work.key_id, left_s):
                return coordination.RefusalReason.OUTCOME_UNKNOWN
        if held.state is coordination.WorkState.GIVEN_UP:
            return await self._request_claim(work, taken_from='')
        if held.answer is not None:
            return held.answer
        if self._core.claims.begin(work.key_id):
            return WorkPermit(work.key_id)
        return coordination.RefusalReason.OUTCOME_UNKNOWN

    async def _request_claim(
        self, work: KeyedWork, taken_from: str
    ) -> Resolution:
        while True:
            answer = await self._ask_leader(work, taken_from)
            if answer is None:
                return coordination.RefusalReason.CLAIM_UNAVAILABLE
            is_granted = answer.verdict is state.ClaimVerdict.GRANTED
            if not is_granted or not self._has_given_up(work):
                return await self._resolve_verdict(work, answer)
            # The entry that the work was given up to may still take the claim
            # over, and then knows the outcome.
            left_s = work.deadline_s - time.monotonic()
            if left_s <= 0:
                return coordination.RefusalReason.OUTCOME_UNKNOWN
            await asyncio.sleep(min(left_s, OUTCOME_REQUEST_INTERVAL_S))

    def _has_given_up(self, work: KeyedWork) -> bool:
        held = self._core.claims.get(work.key_id)
        return (
            held is not None
            and held.body_digest == work.body_digest
            and held.state is coordination.WorkState.GIVEN_UP
        )

    async def _ask_leader(
        self, work: KeyedWork, taken_from: str
    ) -> state.ClaimAnswer | None:
        """Return the leader's verdict, or None if the deadline passes."""
        self._core.claims.request_claim(
            state.ClaimAsk(
                work.key_id, work.body_digest, work.issued_at_ms, taken_from
            )
        )
        self._schedule_step()
        left_s = work.deadline_s - time.monotonic()
        return await self._verdicts.wait(work.key_id, left_s)

    async def _resolve_verdict(
        self, work: KeyedWork, answer: state.ClaimAnswer
    ) -> Resolution:
        match answer.verdict:
            case state.ClaimVerdict.EXPIRED:
                return coordination.RefusalReason.KEY_EXPIRED
            case state.ClaimVerdict.FULL:
                return coordination.RefusalReason.CLAIMS_FULL
            case state.ClaimVerdict.GRANTED:
                return await self._resolve_granted(work)
        assert answer.holder is not None
        return await self._resolve_held_elsewhere(work, answer.holder)

    async def _resolve_granted(self, work: KeyedWork) -> Resolution:
        held = self._core.claims.get(work.key_id)
        if held is not None and held.body_digest != work.body_digest:
            # The claim was requested for other work, whose caller has gone.
            return coordination.RefusalReason.KEY_REUSED
        if self._core.claims.begin(work.key_id):
            return WorkPermit(work.key_id)
        if held is None:
            return coordination.RefusalReason.OUTCOME_UNKNOWN
        # Another call with the same key has begun to run the work meanwhile.
        return await self._resolve_held(work, held)

    async def _resolve_held_elsewhere(
        self, work: KeyedWork, holder: state.Claim
    ) -> Resolution:
        """Return the outcome of another process's work.

        If that process has given the work up without running it, request its
        claim.
        """
        if holder.body_digest != work.body_digest:
            return coordination.RefusalReason.KEY_REUSED
        learned_at_s = time.monotonic()
        while time.monotonic() < work.deadline_s:
            is_listed = self._core.request_outcome(holder, work.key_id)
            # The holder's lease may be younger than this entry's list of
            # entries, so only a list requested since then shows that it has
            # gone.
            if not is_listed and self._core.lists_entries_since(learned_at_s):
                return coordination.RefusalReason.OUTCOME_UNKNOWN
            self._schedule_step()
            response = await self._outcomes.wait(
                work.key_id, OUTCOME_REQUEST_INTERVAL_S
            )
            if response is None or response.boot_id != holder.boot_id:
                # An earlier holder's late response says nothing about the
                # present holder's work.
                continue
            if response.state is coordination.KeptState.GIVEN_UP:
                return await self._request_claim(work, holder.boot_id)
            if response.answer is not None:
                return response.answer
            return coordination.RefusalReason.OUTCOME_UNKNOWN
        return coordination.RefusalReason.OUTCOME_UNKNOWN


def hash_parts(*parts: bytes) -> str:
    """Return a hash of parts.

    The length of each part is hashed with it, so that bytes moved from one
    part to the next change the hash.
    """
    digest = hashlib.blake2b(digest_size=KEY_HASH_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.hexdigest()
