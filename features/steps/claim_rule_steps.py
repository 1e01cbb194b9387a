"""Steps about claims and outcomes that cross between entries."""

import asyncio
from collections.abc import Callable
import random
import time
from typing import Any
from unittest import mock

from behave import given
from behave import then
from behave import when

from greengagering import coordination
from greengagering import state
from greengagering.transport import _claim_resolver

KEY = 'key-1'
DIGEST = 'digest'
DEADLINE_S = 3600.0
"""Time that callers have left: so long that no deadline passes."""

LOOP_ITERATIONS = 20
REQUEST_BY_ENTRY_2 = coordination.OutcomeRequest(
    'entry-2', 'entry-2', 'boot-1', KEY
)
LIST_AGE_S = 10.0
"""Difference in time between an old list of entries and a newer one."""

CLAIM_OF_ENTRY_1 = state.Claim(DIGEST, 'entry-1', 'boot-1', 0)
CLAIM_OF_ENTRY_2 = state.Claim(DIGEST, 'entry-2', 'boot-2', 0)
ANSWER = coordination.KeptAnswer(200, (), b'whole')


class ClaimWorld:
    """entry-1 with callers of the same work, on an event loop of its own."""

    def __init__(self) -> None:
        self.core = coordination.EntryCore(
            coordination.EntryIdentity('entry-1', 'boot-1', 'entry-1', 'dc-1'),
            random.Random(1),
        )
        self.resolver = _claim_resolver.ClaimResolver(self.core, lambda: None)
        self.callers: list[asyncio.Task[_claim_resolver.Resolution]] = []
        self.loop = asyncio.new_event_loop()

    def close(self) -> None:
        """Cancel the callers and close the loop."""
        for caller in self.callers:
            caller.cancel()
        self.run_callbacks()
        self.loop.close()

    def run_callbacks(self) -> None:
        """Run the callbacks that are due; no timeout expires."""

        async def run() -> None:
            for _ in range(LOOP_ITERATIONS):
                await asyncio.sleep(0)

        self.loop.run_until_complete(run())

    def call(self, act: Callable[[], None]) -> None:
        """Call a function as a callback of the loop does."""

        async def run() -> None:
            act()

        self.loop.run_until_complete(run())

    def add_callers(self, count: int) -> None:
        """Let callers send the work."""
        for _ in range(count):
            work = _claim_resolver.KeyedWork(
                KEY, DIGEST, 0, time.monotonic() + DEADLINE_S
            )
            caller = self.loop.create_task(self.resolver.resolve(work))
            self.callers.append(caller)
        self.run_callbacks()

    def receive_verdict(
        self, verdict: state.ClaimVerdict, holder: state.Claim
    ) -> None:
        """Receive the leader's verdict on the claim."""
        answer = state.ClaimAnswer(KEY, verdict, holder)
        self.resolver.receive_verdicts(
            coordination.ClaimResponse('boot-1', (answer,))
        )

    def receive_grant(self) -> None:
        """Receive the verdict that entry-1 holds the claim."""
        self.receive_verdict(state.ClaimVerdict.GRANTED, CLAIM_OF_ENTRY_1)

    def finish(
        self,
        outcome: coordination.WorkState,
        answer: coordination.KeptAnswer | None,
    ) -> None:
        """End the work that a caller runs."""
        permit = _claim_resolver.WorkPermit(KEY)
        self.call(lambda: self.resolver.finish(permit, outcome, answer))
        self.run_callbacks()

    def receive_entries(
        self, names: tuple[str, ...], sent_at_s: float, *, is_complete: bool
    ) -> None:
        """Receive a lease with a list of the live entries.

        Args:
            names: the entries.
            sent_at_s: when entry-1 sent the report that the lease answers.
            is_complete: whether the leader knows all entries.
        """
        grant = coordination.LeaseGrant(
            leader_id='control-1',
            term=1,
            entry_boot_id='boot-1',
            report_sent_at_s=sent_at_s,
            duration_s=DEADLINE_S,
            confirmed_revision=0,
            entries=tuple(coordination.EntryAddress(n, n) for n in names),
            is_complete=is_complete,
        )
        self.core.receive('control-1', grant, sent_at_s)
        self.run_callbacks()

    def take_claim_requests(self) -> tuple[state.ClaimAsk, ...]:
        """Return the requests for claims that are due."""
        return self.core.claims.take_due_requests(time.monotonic())

    def take_outcome_requests(self) -> list[str]:
        """Return the entries from which the outcome was requested."""
        return [
            outgoing.entry_id
            for outgoing in self.core.take_outbox()
            if isinstance(outgoing, coordination.ToPeer)
            and isinstance(outgoing.message, coordination.OutcomeRequest)
        ]

    def take_response(self) -> coordination.OutcomeResponse | None:
        """Return the response to entry-2, or None if there is none yet."""
        outcomes = self.core.claims.take_outcomes()
        assert len(outcomes) <= 1, outcomes
        return outcomes[0].response if outcomes else None

    def take_results(self) -> list[_claim_resolver.Resolution]:
        """Return the results of the callers that no longer wait."""
        done = [caller for caller in self.callers if caller.done()]
        self.callers = [c for c in self.callers if not c.done()]
        return [caller.result() for caller in done]


@given("{count:d} callers that wait at entry-1 for the claim of a key's work")
def callers_wait(context: Any, count: int) -> None:
    if 'claims' not in context:
        _create_world(context)
    context.claims.add_callers(count)


def _create_world(context: Any) -> None:
    context.claims = ClaimWorld()
    context.add_cleanup(context.claims.close)


@given('entry-1 with a list of live entries that lacks entry-2')
def set_old_list(context: Any) -> None:
    # The list is looked at again in each iteration of the loop, so that the
    # scenario needn't wait.
    _set_request_interval(context, 0.0)
    _create_world(context)
    context.claims.receive_entries(
        ('entry-1',), time.monotonic() - LIST_AGE_S, is_complete=True
    )


def _set_request_interval(context: Any, interval_s: float) -> None:
    patch = mock.patch.object(
        _claim_resolver, 'OUTCOME_REQUEST_INTERVAL_S', interval_s
    )
    patch.start()
    context.add_cleanup(patch.stop)


@given(
    "entry-1 holds the claim of a key's work and has given it up to entry-2"
)
def give_up(context: Any) -> None:
    # The claim is requested again in each iteration of the loop, so that the
    # scenario needn't wait.
    _set_request_interval(context, 0.0)
    _create_world(context)
    world = context.claims
    world.core.claims.request_claim(state.ClaimAsk(KEY, DIGEST, 0))
    world.receive_grant()
    world.core.claims.answer_outcome_request(REQUEST_BY_ENTRY_2)
    check_given_up(context)


@when(
    "the claim is granted to entry-1 again, as entry-2's request is on its way"
)
def grant_again(context: Any) -> None:
    world = context.claims
    assert world.take_claim_requests(), 'the claim was not requested'
    world.call(world.receive_grant)
    world.run_callbacks()


@then('entry-1 requests the claim again, and its caller still waits')
def check_requested_again(context: Any) -> None:
    results = context.claims.take_results()
    assert not results, results
    assert context.claims.take_claim_requests()


@when('the claim turns out to be held by entry-2')
def find_holder(context: Any) -> None:
    world = context.claims
    held = state.ClaimVerdict.HELD
    world.call(lambda: world.receive_verdict(held, CLAIM_OF_ENTRY_2))
    world.run_callbacks()


@when('a newer {kind} list {relation} entry-2 arrives')
def receive_list(context: Any, kind: str, relation: str) -> None:
    names = ('entry-1', 'entry-2')
    context.claims.receive_entries(
        names if relation == 'with' else names[:1],
        time.monotonic() + LIST_AGE_S,
        is_complete=kind == 'complete',
    )


@then('entry-1 requests no outcome, and its caller still waits')
def check_no_request(context: Any) -> None:
    assert not context.claims.take_outcome_requests()
    results = context.claims.take_results()
    assert not results, results


@then('entry-1 requests the outcome from entry-2')
def check_request(context: Any) -> None:
    assert set(context.claims.take_outcome_requests()) == {'entry-2'}
    # From now on the caller waits for the response.
    _set_request_interval(context, DEADLINE_S)
    context.claims.run_callbacks()


@when('entry-2 responds with the answer')
def respond(context: Any) -> None:
    world = context.claims
    response = coordination.OutcomeResponse(
        'boot-2', KEY, coordination.KeptState.ANSWERED, ANSWER
    )
    world.call(lambda: world.resolver.receive_outcome(response))
    world.run_callbacks()


@then('the caller is told that the outcome is unknown')
def check_told_unknown(context: Any) -> None:
    results = context.claims.take_results()
    assert results == [coordination.RefusalReason.OUTCOME_UNKNOWN], results


@when(
    'the claim is granted to entry-1 and entry-2 requests the outcome at once'
)
def grant_and_request(context: Any) -> None:
    world = context.claims

    def receive_both() -> None:
        # Both messages arrive before the event loop runs any caller.
        world.receive_grant()
        world.core.claims.answer_outcome_request(REQUEST_BY_ENTRY_2)

    world.call(receive_both)
    world.run_callbacks()


@then(
    'entry-2 has no response yet, and {count:d} of the callers runs the work'
)
def check_running(context: Any, count: int) -> None:
    response = context.claims.take_response()
    assert response is None, response
    _check_permits(context.claims, count)


@given('the claim is granted to entry-1 and one of them runs the work')
def grant_and_run(context: Any) -> None:
    context.claims.call(context.claims.receive_grant)
    context.claims.run_callbacks()
    _check_permits(context.claims, 1)


def _check_permits(world: ClaimWorld, count: int) -> None:
    """Check that count callers got a permit and that no other got a result."""
    results = world.take_results()
    assert results == [_claim_resolver.WorkPermit(KEY)] * count, results


@when('the work is refused without running')
def refuse_work(context: Any) -> None:
    context.claims.finish(coordination.WorkState.NOT_RUN, None)


@then('{count:d} of the callers runs the work, and the others still wait')
def check_next_runs(context: Any, count: int) -> None:
    _check_permits(context.claims, count)
    assert context.claims.callers


@when('the work is answered')
def answer_work(context: Any) -> None:
    context.claims.finish(coordination.WorkState.ANSWERED, ANSWER)


@then('entry-2 and the other callers get the answer')
def check_answered(context: Any) -> None:
    response = context.claims.take_response()
    assert response is not None
    assert response.answer == ANSWER, response
    check_callers_answered(context)


@then('the other callers get the answer')
def check_callers_answered(context: Any) -> None:
    results = context.claims.take_results()
    assert results, 'no caller was left'
    assert not context.claims.callers, context.claims.callers
    assert all(result == ANSWER for result in results), results


@when(
    'they disconnect after the claim is granted and entry-2 requests the '
    'outcome'
)
def disconnect_after_grant(context: Any) -> None:
    world = context.claims

    def receive_and_disconnect() -> None:
        world.receive_grant()
        for caller in world.callers:
            caller.cancel()
        world.core.claims.answer_outcome_request(REQUEST_BY_ENTRY_2)

    world.call(receive_and_disconnect)
    world.run_callbacks()


@when('entry-2 requests the outcome before the claim is granted to entry-1')
def request_before_grant(context: Any) -> None:
    world = context.claims

    def receive_both() -> None:
        world.core.claims.answer_outcome_request(REQUEST_BY_ENTRY_2)
        world.receive_grant()

    world.call(receive_both)
    world.run_callbacks()


def _disconnect_and_request(world: ClaimWorld) -> None:
    for caller in world.callers:
        caller.cancel()
    world.run_callbacks()
    world.core.claims.answer_outcome_request(REQUEST_BY_ENTRY_2)


@when(
    'they disconnect, entry-2 requests the outcome, and the claim is granted '
    'to entry-1'
)
def request_before_late_grant(context: Any) -> None:
    _disconnect_and_request(context.claims)
    context.claims.receive_grant()


@when(
    'they disconnect, entry-2 requests the outcome, and the claim is held by '
    'entry-3'
)
def request_before_refusal(context: Any) -> None:
    _disconnect_and_request(context.claims)
    assert context.claims.take_response() is None
    context.claims.receive_verdict(
        state.ClaimVerdict.HELD, state.Claim(DIGEST, 'entry-3', 'boot-3', 0)
    )


@then("entry-2's response is that the outcome is unknown")
def check_unknown(context: Any) -> None:
    response = context.claims.take_response()
    assert response is not None
    assert response.state is coordination.KeptState.UNKNOWN, response


@then("entry-2's response is that entry-1 gave the work up")
def check_given_up(context: Any) -> None:
    response = context.claims.take_response()
    assert response is not None
    assert response.state is coordination.KeptState.GIVEN_UP, response


@then('entry-1 may not run the work any more')
def check_not_begun(context: Any) -> None:
    assert not context.claims.core.claims.begin(KEY)
