"""Steps with a replica's record of who has led for long enough."""

import math
from typing import Any

from behave import given
from behave import then
from behave import when

from features.steps.replica_rule_steps import new_replica
from features.steps.replica_rule_steps import peer
from greengagering import coordination

HEARTBEAT_S = 0.08
TOLERANCE_S = 0.2
"""A few heartbeats."""


def _hear(
    context: Any, term: int, seconds: float, leaderless_s: float = math.inf
) -> None:
    """Let the leader of a term send heartbeats for some time."""
    ends_s = context.now_s + seconds
    while context.now_s < ends_s:
        context.now_s += HEARTBEAT_S
        _append(context, term, leaderless_s)


def _append(context: Any, term: int, leaderless_s: float) -> None:
    request = coordination.AppendRequest(
        term, 0, 0, (), 0, context.now_s, leaderless_s
    )
    context.replica.receive(peer('control-2'), request, context.now_s)
    context.replica.take_outbox()


@given('a replica that has just started')
def start_new(context: Any) -> None:
    new_replica(context)


@given('a replica that has heard the leader of term 1 for {seconds:g} s')
def follow(context: Any, seconds: float) -> None:
    new_replica(context)
    _hear(context, 1, seconds)


@given('a leader of three that its followers have answered for {seconds:g} s')
def lead(context: Any, seconds: float) -> None:
    new_replica(context)
    replica = context.replica
    context.now_s += replica.options.election_max_s
    replica.tick(context.now_s)
    for is_pre in (True, False):
        vote = coordination.VoteResponse(1, is_pre, True)
        replica.receive(peer('control-3'), vote, context.now_s)
    assert replica.is_leader
    ends_s = context.now_s + seconds
    while context.now_s < ends_s:
        context.now_s += HEARTBEAT_S
        response = coordination.AppendResponse(
            1, True, replica.log.last_index, 0, context.now_s
        )
        replica.receive(peer('control-3'), response, context.now_s)
        replica.tick(context.now_s)
        replica.take_outbox()


@when(
    'it hears nobody for {first_s:g} s, the leader of term 2 for {term_s:g} '
    's, and nobody for {last_s:g} s'
)
def hear_short_term(
    context: Any, first_s: float, term_s: float, last_s: float
) -> None:
    context.now_s += first_s
    # That leader's own record is the same: it heard the same leaders.
    ends_s = context.now_s + term_s
    while context.now_s < ends_s:
        context.now_s += HEARTBEAT_S
        _append(context, 2, context.replica.leaderless_s(context.now_s))
    context.now_s += last_s


@when(
    'it hears the leader of term 1, which has led for long, for {seconds:g} s'
)
def hear_steady(context: Any, seconds: float) -> None:
    _hear(context, 1, seconds, leaderless_s=0.0)


@when(
    'it is paused for {pause_s:g} s, and then handles {sent_s:g} s of the '
    "leader's messages at once"
)
def pause(context: Any, pause_s: float, sent_s: float) -> None:
    context.now_s += pause_s
    for _ in range(int(sent_s / HEARTBEAT_S)):
        _append(context, 1, 0.0)


@when('nobody answers it for {seconds:g} s')
def answer_nothing(context: Any, seconds: float) -> None:
    ends_s = context.now_s + seconds
    while context.now_s < ends_s:
        context.now_s += HEARTBEAT_S
        context.replica.tick(context.now_s)
        context.replica.take_outbox()


@then('it leads no more')
def check_stepped_down(context: Any) -> None:
    assert not context.replica.is_leader


@then('it takes nobody to have led for {seconds:g} s')
def check_leaderless(context: Any, seconds: float) -> None:
    leaderless_s = context.replica.leaderless_s(context.now_s)
    assert abs(leaderless_s - seconds) < TOLERANCE_S, leaderless_s
