"""Steps that exchange single messages with one replica."""

import random
from typing import Any

from behave import given
from behave import then
from behave import when

from features.search import fakes
from greengagering import coordination
from greengagering import state
from greengagering.state import errors as state_errors

VOTERS = ('control-1', 'control-2', 'control-3')


def peer(name: str) -> coordination.ReplicaIdentity:
    """Return the identity of another replica."""
    return coordination.ReplicaIdentity(name, f'{name}-folder')


def start(
    context: Any,
    voters: tuple[str, ...] = VOTERS,
    options: coordination.ReplicaOptions | None = None,
    former_over_s: float | None = None,
) -> None:
    """Start control-1 from its disk."""
    context.replica = coordination.Replica(
        peer('control-1'),
        state.Membership(voters=voters),
        context.disk,
        random.Random(1),
        context.now_s,
        options,
        former_over_s,
    )


def new_replica(
    context: Any,
    voters: tuple[str, ...] = VOTERS,
    options: coordination.ReplicaOptions | None = None,
) -> None:
    """Start control-1 with an empty disk."""
    context.now_s = 100.0
    context.disk = fakes.FakeDisk(random.Random(1), 0.0)
    start(context, voters, options)


def entry(index: int, term: int) -> state.LogEntry:
    """Return a command entry."""
    return state.LogEntry(index, term, state.EntryKind.COMMAND, b'x')


def append(term: int, *entries: state.LogEntry) -> Any:
    """Return an append request from the start of the log."""
    return coordination.AppendRequest(term, 0, 0, entries, 0, 1.0)


@given('a follower that heard the leader of term 1 just now')
def heard_leader(context: Any) -> None:
    new_replica(context)
    context.replica.receive(
        peer('control-2'), append(1, entry(1, 1)), context.now_s
    )
    context.replica.take_outbox()


@when('another replica with a longer log asks it for votes in term 2')
@when('the shortest election time passes and it is asked again')
def ask_votes(context: Any) -> None:
    if getattr(context, 'votes', None):
        pass_time(context)
    context.votes = []
    for is_pre in (True, False):
        request = coordination.VoteRequest(2, 9, 1, is_pre)
        context.replica.receive(peer('control-3'), request, context.now_s)
        (answer,) = context.replica.take_outbox()
        context.votes.append(answer.message.is_granted)


@then('it refuses both votes and stays in term 1')
def check_refused(context: Any) -> None:
    assert context.votes == [False, False]
    assert context.replica.term == 1


@then('it grants both votes')
def check_granted(context: Any) -> None:
    assert context.votes == [True, True]
    assert context.replica.term == 2


@when('it restarts from its disk')
def restart(context: Any) -> None:
    start(context)


@when(
    'it restarts from its disk, which its new process has locked since, and '
    'the shortest election time passes'
)
def restart_slowly(context: Any) -> None:
    locked_at_s = context.now_s
    pass_time(context)
    start(context, former_over_s=locked_at_s)


def pre_votes_asked(context: Any) -> int:
    """Advance the replica's timers; count the pre-votes that it asks for."""
    context.replica.tick(context.now_s)
    return sum(
        isinstance(outgoing.message, coordination.VoteRequest)
        and outgoing.message.is_pre
        for outgoing in context.replica.take_outbox()
    )


@when('the longest election time passes and it asks for votes')
def ask_for_votes(context: Any) -> None:
    context.now_s += context.replica.options.election_max_s
    assert pre_votes_asked(context) == 2


@then('it asks again within two heartbeats, and its term stays 1')
def check_asks_again(context: Any) -> None:
    context.now_s += 2 * context.replica.options.heartbeat_s
    assert pre_votes_asked(context) == 2
    assert context.replica.term == 1


@when(
    'the longest election time passes and another replica asks whether it '
    'would vote for it'
)
def grant_pre_vote(context: Any) -> None:
    context.now_s += context.replica.options.election_max_s
    request = coordination.VoteRequest(2, 9, 1, True)
    context.replica.receive(peer('control-3'), request, context.now_s)
    (answer,) = context.replica.take_outbox()
    assert answer.message.is_granted


@then('it starts no election within 30 ms, and one within two heartbeats')
def check_precedence(context: Any) -> None:
    context.now_s += 0.03
    assert not pre_votes_asked(context)
    context.now_s += 2 * context.replica.options.heartbeat_s
    assert pre_votes_asked(context) == 2


@when('the shortest election time passes')
def pass_time(context: Any) -> None:
    context.now_s += context.replica.options.election_min_s


@given('a leader of term 3 whose log holds uncommitted entries of term 1')
def make_leader(context: Any) -> None:
    new_replica(context)
    replica = context.replica
    entries = (entry(1, 1), entry(2, 1))
    replica.receive(peer('control-2'), append(1, *entries), context.now_s)
    replica.receive(peer('control-2'), append(2), context.now_s)
    context.now_s += replica.options.election_max_s
    replica.tick(context.now_s)
    for is_pre in (True, False):
        vote = coordination.VoteResponse(3, is_pre, True)
        replica.receive(peer('control-3'), vote, context.now_s)
    assert replica.is_leader
    assert replica.term == 3
    assert replica.log.last_index == 3


def _confirm(context: Any, index: int) -> None:
    response = coordination.AppendResponse(3, True, index, 0, context.now_s)
    context.replica.receive(peer('control-3'), response, context.now_s)


@when('a follower confirms the entries of term 1 only')
def confirm_old(context: Any) -> None:
    _confirm(context, 2)


@then('nothing is committed')
def check_nothing(context: Any) -> None:
    assert context.replica.commit_index == 0


@when("a follower confirms the leader's own entry too")
def confirm_all(context: Any) -> None:
    _confirm(context, 3)


@then('all of them are committed')
def check_all(context: Any) -> None:
    assert context.replica.commit_index == 3


@given('a follower that voted for control-2 in term 5')
def voted(context: Any) -> None:
    new_replica(context)
    pass_time(context)
    request = coordination.VoteRequest(5, 9, 1, False)
    context.replica.receive(peer('control-2'), request, context.now_s)
    (answer,) = context.replica.take_outbox()
    assert answer.message.is_granted


@then('it refuses control-3 a vote in term 5')
def check_one_vote(context: Any) -> None:
    request = coordination.VoteRequest(5, 99, 4, False)
    context.replica.receive(peer('control-3'), request, context.now_s)
    (answer,) = context.replica.take_outbox()
    assert not answer.message.is_granted


@given('a learner that heard the leader of term 1 just now')
def make_learner(context: Any) -> None:
    context.now_s = 100.0
    context.disk = fakes.FakeDisk(random.Random(1), 0.0)
    context.replica = coordination.Replica(
        peer('control-4'),
        state.Membership(voters=VOTERS, learners=('control-4',)),
        context.disk,
        random.Random(1),
        context.now_s,
    )
    context.replica.receive(
        peer('control-2'), append(1, entry(1, 1)), context.now_s
    )
    context.replica.take_outbox()


@when('the longest election time passes')
def pass_longest(context: Any) -> None:
    context.now_s += context.replica.options.election_max_s
    context.replica.tick(context.now_s)


@when('five of the longest election times pass')
def pass_five(context: Any) -> None:
    context.now_s += 5 * context.replica.options.election_max_s
    context.replica.tick(context.now_s)


@then('it asks for no vote')
def check_no_election(context: Any) -> None:
    assert context.replica.take_outbox() == []


@then('it asks every voter for a vote')
def check_asks(context: Any) -> None:
    asked = [outgoing.receiver for outgoing in context.replica.take_outbox()]
    assert asked == list(VOTERS), asked


def _grant(
    context: Any, term: int, names: list[str], *, is_complete: bool
) -> None:
    entries = tuple(coordination.EntryAddress(n, f'{n}:1') for n in names)
    grant = coordination.LeaseGrant(
        leader_id='control-1',
        term=term,
        entry_boot_id='boot',
        report_sent_at_s=1.0,
        duration_s=1.8,
        confirmed_revision=0,
        entries=entries,
        is_complete=is_complete,
    )
    context.entry.receive('control-1', grant, 1.0)


@given('an entry that knows entry-1, entry-2 and entry-3')
def make_entry(context: Any) -> None:
    identity = coordination.EntryIdentity('entry-2', 'boot', 'a:1', 'dc-1')
    context.entry = coordination.EntryCore(identity, random.Random(1))
    names = ['entry-1', 'entry-2', 'entry-3']
    _grant(context, 1, names, is_complete=True)


@when('a new leader that has heard entry-2 only grants it a lease')
def grant_partial(context: Any) -> None:
    _grant(context, 2, ['entry-2'], is_complete=False)


@when(
    'the leader knows every entry that may have a lease, entry-1 and entry-2'
)
def grant_complete(context: Any) -> None:
    _grant(context, 2, ['entry-1', 'entry-2'], is_complete=True)


@then('it still knows entry-1, entry-2 and entry-3')
def check_three(context: Any) -> None:
    names = [entry.entry_id for entry in context.entry.follower.entries]
    assert names == ['entry-1', 'entry-2', 'entry-3'], names


@then('it knows entry-1 and entry-2')
def check_two(context: Any) -> None:
    names = [entry.entry_id for entry in context.entry.follower.entries]
    assert names == ['entry-1', 'entry-2'], names


@given(
    'a leader of {count} that syncs in the background and has written an entry'
)
def lead_with_unsynced(context: Any, count: str) -> None:
    voters = VOTERS if count == 'three' else VOTERS[:1]
    options = coordination.ReplicaOptions(syncs_in_background=True)
    new_replica(context, voters, options)
    replica = context.replica
    context.now_s += 1.0
    replica.tick(context.now_s)
    for is_pre in (True, False):
        if count == 'three':
            replica.receive(
                peer('control-2'),
                coordination.VoteResponse(1, is_pre, True),
                context.now_s,
            )
    assert replica.is_leader
    replica.propose(b'x')
    replica.flush(context.now_s + 0.02)
    replica.take_outbox()
    assert replica.is_sync_due()


@when('the next leader asks whether it holds that entry')
def ask_for_entry(context: Any) -> None:
    log = context.replica.log
    context.index = log.last_index
    request = coordination.AppendRequest(
        2, log.last_index, log.last_term, (), 0, 1.0
    )
    context.replica.receive(peer('control-2'), request, context.now_s)


@then('it confirms the entry, and a crash leaves it there')
def check_confirmed(context: Any) -> None:
    (answer,) = context.replica.take_outbox()
    assert answer.message.match_index == context.index, answer
    assert not context.disk.unsynced_count
    stored = context.disk.load().entries
    assert stored[-1].index == context.index, stored


@then('nothing of it is committed')
def check_uncommitted(context: Any) -> None:
    assert context.replica.commit_index == 0


@when('the sync ends')
def end_sync(context: Any) -> None:
    replica = context.replica
    index, term = replica.log.last_index, replica.term
    context.disk.begin_sync()()
    replica.handle_sync_done(index, term, context.now_s)


@then('the entry is committed')
def check_committed(context: Any) -> None:
    replica = context.replica
    assert replica.commit_index == replica.log.last_index > 0


@when('a sync that began under an earlier term ends')
def end_earlier_sync(context: Any) -> None:
    replica = context.replica
    replica.handle_sync_done(
        replica.log.last_index, replica.term - 1, context.now_s
    )


@then('its log still waits for a sync')
def check_waits(context: Any) -> None:
    assert context.replica.is_sync_due()


@when('the sync fails')
def fail_sync(context: Any) -> None:
    error = state_errors.StorageError('the fake disk refuses')
    context.replica.handle_sync_failure(error, context.now_s)


@then('it leads no more, and no sync is due')
def check_stepped_down(context: Any) -> None:
    replica = context.replica
    assert not replica.is_leader
    assert replica.log.last_index > replica.log.synced_index
    assert not replica.is_sync_due()
