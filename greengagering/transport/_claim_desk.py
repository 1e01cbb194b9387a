"""Lets each idempotency key's work run at most once, over all entries."""

import asyncio
from collections.abc import Callable
import dataclasses
import hashlib
import time
from typing import Generic
from typing import TypeVar

from greengagering import coordination
from greengagering import state

REPEAT_OUTCOME_S = 0.5
KEY_HASH_BYTES = 16

Value = TypeVar('Value')


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedWork:
    """Work that a caller named by an idempotency key.

    Attributes:
        key_id: hash of service and key.
        body_digest: hash of method, path and body.
        issued_at_ms: Unix time at which the caller made the key.
        deadline_s: entry's clock by which the caller wants an answer.
    """

    key_id: str
    body_digest: str
    issued_at_ms: int
    deadline_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Permit:
    """This process may run the work, once, and must report its end."""

    key_id: str


Settlement = Permit | coordination.KeptAnswer | coordination.RefusalReason


class _Waiters(Generic[Value]):
    """Futures by key, for messages that answer several callers at once."""

    def __init__(self) -> None:
        self._futures: dict[str, list[asyncio.Future[Value]]] = {}

    async def wait(self, key_id: str, timeout_s: float) -> Value | None:
        """Wait for a key's message; return None when time runs out."""
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

    def settle(self, key_id: str, value: Value) -> None:
        """Hand a message to everyone who waits for it."""
        for future in self._futures.get(key_id, []):
            if not future.done():
                future.set_result(value)


class ClaimDesk:
    """Settles who runs a key's work, and joins resends to it."""

    def __init__(
        self, core: coordination.EntryCore, wake: Callable[[], None]
    ) -> None:
        self._core = core
        self._wake = wake
        self._verdicts: _Waiters[state.ClaimAnswer] = _Waiters()
        self._outcomes: _Waiters[coordination.OutcomeResponse] = _Waiters()
        self._ends: _Waiters[bool] = _Waiters()

    async def settle(self, work: KeyedWork) -> Settlement:
        """Return a permit, the kept answer, or why there is neither."""
        held = self._core.claims.get(work.key_id)
        if held is not None:
            return await self._settle_held(work, held)
        return await self._settle_asked(work, taken_from='')

    def finish(
        self,
        permit: Permit,
        outcome: coordination.WorkState,
        answer: coordination.KeptAnswer | None,
    ) -> None:
        """Record the end of permitted work."""
        self._core.claims.end(permit.key_id, outcome, answer)
        self._wake()
        self._ends.settle(permit.key_id, True)

    def note_response(self, response: coordination.ClaimResponse) -> None:
        """Take the leader's verdicts."""
        if response.boot_id != self._core.identity.boot_id:
            return
        for answer in response.answers:
            if self._core.claims.note_answer(answer, time.monotonic()):
                self._verdicts.settle(answer.key_id, answer)

    def note_outcome(self, response: coordination.OutcomeResponse) -> None:
        """Take another entry's word on work that it holds."""
        self._outcomes.settle(response.key_id, response)

    async def _settle_held(
        self, work: KeyedWork, held: coordination.HeldClaim
    ) -> Settlement:
        if held.body_digest != work.body_digest:
            return coordination.RefusalReason.KEY_REUSED
        if held.state is coordination.WorkState.RUNNING:
            left_s = work.deadline_s - time.monotonic()
            if not await self._ends.wait(work.key_id, left_s):
                return coordination.RefusalReason.OUTCOME_UNKNOWN
        if held.state is coordination.WorkState.GIVEN_UP:
            return await self._settle_asked(work, taken_from='')
        if held.answer is not None:
            return held.answer
        if self._core.claims.begin(work.key_id):
            return Permit(work.key_id)
        return coordination.RefusalReason.OUTCOME_UNKNOWN

    async def _settle_asked(
        self, work: KeyedWork, taken_from: str
    ) -> Settlement:
        self._core.claims.ask(
            state.ClaimAsk(
                work.key_id, work.body_digest, work.issued_at_ms, taken_from
            )
        )
        self._wake()
        left_s = work.deadline_s - time.monotonic()
        answer = await self._verdicts.wait(work.key_id, left_s)
        if answer is None:
            return coordination.RefusalReason.CLAIM_UNAVAILABLE
        match answer.verdict:
            case state.ClaimVerdict.EXPIRED:
                return coordination.RefusalReason.KEY_EXPIRED
            case state.ClaimVerdict.FULL:
                return coordination.RefusalReason.CLAIMS_FULL
            case state.ClaimVerdict.GRANTED:
                return await self._settle_granted(work)
        assert answer.holder is not None
        return await self._settle_elsewhere(work, answer.holder)

    async def _settle_granted(self, work: KeyedWork) -> Settlement:
        held = self._core.claims.get(work.key_id)
        if held is not None and held.body_digest != work.body_digest:
            # The grant was asked for other work, which a caller has left.
            return coordination.RefusalReason.KEY_REUSED
        if self._core.claims.begin(work.key_id):
            return Permit(work.key_id)
        if held is None or held.state is coordination.WorkState.GIVEN_UP:
            return coordination.RefusalReason.OUTCOME_UNKNOWN
        # Another resend was granted the same claim and runs it already.
        return await self._settle_held(work, held)

    async def _settle_elsewhere(
        self, work: KeyedWork, holder: state.Claim
    ) -> Settlement:
        """Join the work of another process, or take it over unrun."""
        if holder.body_digest != work.body_digest:
            return coordination.RefusalReason.KEY_REUSED
        while time.monotonic() < work.deadline_s:
            if not self._core.ask_outcome(holder, work.key_id):
                return coordination.RefusalReason.OUTCOME_UNKNOWN
            self._wake()
            response = await self._outcomes.wait(work.key_id, REPEAT_OUTCOME_S)
            if response is None or response.boot_id != holder.boot_id:
                # A former holder's late word says nothing of this one.
                continue
            if response.state is coordination.KeptState.GIVEN_UP:
                return await self._settle_asked(work, holder.boot_id)
            if response.answer is not None:
                return response.answer
            return coordination.RefusalReason.OUTCOME_UNKNOWN
        return coordination.RefusalReason.OUTCOME_UNKNOWN


def hash_text(*parts: bytes) -> str:
    """Return a hash of parts, each with its length so that none run over."""
    digest = hashlib.blake2b(digest_size=KEY_HASH_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.hexdigest()
