"""Steps that count the log batches that a leader writes."""

import random
from typing import Any

from behave import given
from behave import then
from behave import when

from features.search import fakes
from features.steps.replica_rule_steps import peer
from features.steps.replica_rule_steps import VOTERS
from greengagering import coordination
from greengagering import state


def acknowledge(context: Any) -> None:
    """Let control-2 acknowledge the whole log."""
    replica = context.replica
    response = coordination.AppendResponse(
        replica.term, True, replica.log.last_index, 0, context.now_s
    )
    replica.receive(peer('control-2'), response, context.now_s)


@given('a leader of three with an empty log')
def elect(context: Any) -> None:
    rng = random.Random(1)
    context.now_s = 1.0
    context.disk = fakes.FakeDisk(rng, 0.0)
    replica = coordination.Replica(
        peer('control-1'),
        state.Membership(voters=VOTERS),
        context.disk,
        rng,
        0.0,
    )
    context.replica = replica
    replica.tick(context.now_s)
    for is_pre in (True, False):
        term = replica.term + is_pre
        vote = coordination.VoteResponse(term, is_pre, True)
        replica.receive(peer('control-2'), vote, context.now_s)
    assert replica.is_leader
    # An acknowledgement also binds the sender's identity, which has to be
    # committed.
    for _ in range(2):
        acknowledge(context)
        replica.flush(context.now_s)
    acknowledge(context)
    context.writes = context.disk.writes


@when('a proposal is flushed and {count:d} more follow within {ms:d} ms')
def propose(context: Any, count: int, ms: int) -> None:
    for number in range(count + 1):
        context.replica.propose(b'x')
        context.replica.flush(context.now_s + number * ms / 1000 / count)


@when('the first batch is acknowledged and the leader flushes')
def commit(context: Any) -> None:
    acknowledge(context)
    context.replica.flush(context.now_s)


@when('{ms:d} ms pass and the leader flushes')
def wait(context: Any, ms: int) -> None:
    context.replica.flush(context.now_s + ms / 1000)


@when('{name} learns and lags by {count:d} entries')
def lag(context: Any, name: str, count: int) -> None:
    replica = context.replica
    if name not in replica.membership.learners:
        wanted = state.Membership(
            VOTERS, (name,), replica.membership.incarnations
        )
        refused = replica.propose_membership(wanted, context.now_s).err()
        assert refused is None, refused
        context.now_s += 0.1
        replica.flush(context.now_s)
        acknowledge(context)
    level = replica.log.last_index
    for _ in range(count):
        replica.propose(b'x')
    context.now_s += 0.1
    replica.flush(context.now_s)
    acknowledge(context)
    response = coordination.AppendResponse(
        replica.term, True, level, 0, context.now_s
    )
    replica.receive(peer(name), response, context.now_s)
    # The learner's identity is bound now, and has to be committed.
    for _ in range(2):
        context.now_s += 0.1
        replica.flush(context.now_s)
        acknowledge(context)
        replica.receive(
            peer(name),
            coordination.AppendResponse(
                replica.term, True, level, 0, context.now_s
            ),
            context.now_s,
        )
    context.learner = name


def find_refusal(context: Any) -> Any:
    """Return why the learner may not vote, or None."""
    present = context.replica.membership
    wanted = state.Membership(
        (*VOTERS, context.learner), (), present.incarnations
    )
    return context.replica.propose_membership(wanted, context.now_s).err()


@then('it may not become a voter')
def check_refused(context: Any) -> None:
    assert 'must catch up' in str(find_refusal(context))


@then('it may become a voter')
def check_allowed(context: Any) -> None:
    refusal = find_refusal(context)
    assert refusal is None, refusal
    context.replica._proposals.clear()


@then('{count:d} batch was written since')
def check_writes(context: Any, count: int) -> None:
    assert context.disk.writes - context.writes == count


@then('{count:d} batches were written since, the second with {size:d} entries')
def check_batches(context: Any, count: int, size: int) -> None:
    check_writes(context, count)
    assert context.replica.log.last_index - size >= 1
    entries = context.disk.load().entries
    assert len(entries) == context.replica.log.last_index
