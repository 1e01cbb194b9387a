"""Steps that call control replicas with customers' keys, without a network."""

import logging
from typing import Any

from absl import logging as absl_logging
from behave import given
from behave import then
from behave import when

from features.search import job_search
from features.support import job_world
from features.support import key_world
from greengagering import coordination
from greengagering.platform import _plans
from greengagering import state

OLD_KEYS: key_world.Keys = {
    'first': ('secret-first-old',),
    'second': ('secret-second-old',),
}
UNKNOWN_KEY = 'secret-of-nobody'
CALL_INTERVAL_S = 0.1
PREFIXES = {
    'closed': job_search.QUEUE.path_prefix,
    'open': key_world.OPEN_PREFIX,
}
OUTCOMES = coordination.JobOutcome


class LineRecorder(logging.Handler):
    """Records what is logged."""

    def __init__(self) -> None:
        super().__init__()
        self.lines: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Record a line."""
        self.lines.append(str(record.msg))


def key_of(text: str) -> str | None:
    """Return the key that a step names."""
    if text in ('no key', 'an unknown key'):
        return '' if text == 'no key' else UNKNOWN_KEY
    words = text.split()
    age = words[words.index('key') - 1] if 'key' in words else 'old'
    return f'secret-{words[-1]}-{"new" if age == "new" else "old"}'


def is_key_refused(answer: coordination.JobAnswer) -> bool:
    """Tell whether a call was refused for its key."""
    return (
        answer.outcome is OUTCOMES.OVERLOADED
        and answer.cause is coordination.RefusalCause.UNKNOWN_KEY
    )


def ask(context: Any, kind: str, key: str | None, queue: str) -> None:
    """Send a call about the scenario's job to the leader."""
    context.answer = context.world.ask(
        kind, key, context.job_id, PREFIXES[queue]
    )


def submit(context: Any, key: str | None, queue: str) -> None:
    """Hand in a new job."""
    context.job_count += 1
    context.job_id = f'{context.job_count:016x}'
    ask(context, 'submit', key, queue)


@given('control replicas with the customers first and second')
def start_world(context: Any) -> None:
    recorder = LineRecorder()
    logger = absl_logging.get_absl_logger()
    logger.addHandler(recorder)
    context.add_cleanup(logger.removeHandler, recorder)
    context.add_cleanup(
        absl_logging.set_verbosity, absl_logging.get_verbosity()
    )
    absl_logging.set_verbosity(absl_logging.INFO)
    context.recorder = recorder
    context.world = key_world.KeyWorld()
    context.add_cleanup(context.world.close)
    context.job_count = 0
    context.answers = []
    context.world.advance(job_world.START_S)
    context.world.configure(OLD_KEYS)


@when('a job is submitted at the {queue} queue with {key}')
def submit_with_key(context: Any, queue: str, key: str) -> None:
    submit(context, key_of(key), queue)


@when(
    'a job is submitted at the {queue} queue by an entry that passes no '
    'keys on'
)
def submit_without_digest(context: Any, queue: str) -> None:
    submit(context, None, queue)


@when('the same job is submitted with {key}')
def submit_again(context: Any, key: str) -> None:
    ask(context, 'submit', key_of(key), 'closed')


@when('the same job is submitted by an entry that passes no keys on')
def submit_again_without_digest(context: Any) -> None:
    ask(context, 'submit', None, 'closed')


@when('the job is asked for with {key}')
def show_with_key(context: Any, key: str) -> None:
    ask(context, 'show', key_of(key), 'closed')


@when('the job is asked for at the open queue with {key}')
def show_at_open_queue(context: Any, key: str) -> None:
    ask(context, 'show', key_of(key), 'open')


@when('the job is cancelled with {key}')
def cancel_with_key(context: Any, key: str) -> None:
    ask(context, 'cancel', key_of(key), 'closed')


@when('a configuration without customers is accepted')
def remove_customers(context: Any) -> None:
    context.world.configure({})


@then('the call is {answer}')
def check_answer(context: Any, answer: str) -> None:
    if answer in ('refused', 'refused for its key'):
        assert is_key_refused(context.answer), context.answer
        return
    wanted = {
        'done': OUTCOMES.DONE,
        'answered as for an unknown job': OUTCOMES.NO_JOB,
        'refused for the moment': OUTCOMES.OVERLOADED,
    }[answer]
    assert context.answer.outcome is wanted, context.answer
    assert context.answer.cause is coordination.RefusalCause.NONE


@then('the outcome of the call is unknown')
def check_unknown(context: Any) -> None:
    assert context.answer.outcome is OUTCOMES.UNKNOWN, context.answer


@then('it is shown with {key}')
def check_shown(context: Any, key: str) -> None:
    ask(context, 'show', key_of(key), 'closed')
    assert context.answer.outcome is OUTCOMES.DONE, context.answer


@then('the job is shown with {key}')
def check_job_shown(context: Any, key: str) -> None:
    context.job_id = f'{1:016x}'
    check_shown(context, key)


@then('the job is active and belongs to {name}')
def check_owner(context: Any, name: str) -> None:
    job = context.world.job(context.job_id)
    assert job.status is state.JobStatus.ACTIVE
    assert job.customer == name


@then('the job is not stored')
def check_not_stored(context: Any) -> None:
    context.world.advance(1.0)
    for node in context.world._running():
        assert context.job_id not in node.core.state.jobs.jobs


@when('a job is submitted with {one} and at the same time with {other}')
def submit_twice(context: Any, one: str, other: str) -> None:
    world = context.world
    node = world.leader_node()
    context.job_id = f'{9:016x}'
    context.answers = [
        world.send(node, 'submit', key_of(key), context.job_id)
        for key in (one, other)
    ]
    context.answers = [world.wait_for_answer(c) for c in context.answers]


@then('only first is told that it is stored')
def check_one_stored(context: Any) -> None:
    outcomes = [answer.outcome for answer in context.answers]
    assert outcomes == [OUTCOMES.DONE, OUTCOMES.NO_JOB], outcomes
    assert context.world.job(context.job_id).customer == 'first'


def change_keys(context: Any, key: str, held: tuple[str, ...]) -> None:
    """Give first these keys while calls with a key of it go on."""
    world = context.world
    world.version += 1
    source = key_world.write_configuration(
        world.version, {**OLD_KEYS, 'first': held}
    )
    record = state.PlanReplaced(_plans.parse_plan(source))
    node = world.leader_node()
    node.core.propose_job_record(record, node.clock.read(world.now_s))
    calls = []
    for number in range(10):
        for kind in ('show', 'submit', 'count'):
            job_id = f'{100 * world.version + number:016x}'
            prefix = PREFIXES['closed']
            calls.append(world.send(node, kind, key, job_id, prefix))
        world.advance(CALL_INTERVAL_S)
    context.answers = [world.wait_for_answer(call) for call in calls]


@when('first gets a new key while calls with its old key go on')
def add_key(context: Any) -> None:
    old = OLD_KEYS['first'][0]
    change_keys(context, old, (old, 'secret-first-new'))


@when('first loses its old key while calls with its new key go on')
def drop_old_key(context: Any) -> None:
    change_keys(context, 'secret-first-new', ('secret-first-new',))


@then('no call was refused')
def check_none_refused(context: Any) -> None:
    wanted = {OUTCOMES.DONE, OUTCOMES.NO_JOB}
    assert {a.outcome for a in context.answers} <= wanted, context.answers


@when('first loses its old key')
def revoke(context: Any) -> None:
    context.world.configure({**OLD_KEYS, 'first': ('secret-first-new',)})


@when('a newer configuration gives first its old key back')
def give_back(context: Any) -> None:
    context.world.configure(
        {**OLD_KEYS, 'first': ('secret-first-new', 'secret-first-old')}
    )


@then('calls with {key} are {answer}')
def check_calls(context: Any, key: str, answer: str) -> None:
    for kind in ('submit', 'show', 'cancel', 'count'):
        if kind == 'submit':
            submit(context, key_of(key), 'closed')
        else:
            ask(context, kind, key_of(key), 'closed')
        check_answer(context, answer)
    if answer != 'done':
        check_not_stored(context)


@when('a job is submitted at the moment at which first loses its old key')
def submit_during_revocation(context: Any) -> None:
    world = context.world
    node = world.leader_node()
    core = node.core
    context.job_id = f'{1:016x}'
    answering = world.answering(node)
    source = key_world.write_configuration(
        world.version + 1, {**OLD_KEYS, 'first': ('secret-first-new',)}
    )
    # The handler checks the key, then waits for its task to run; until then
    # the leader applies the configuration.
    call = coordination.JobCall(
        'call-0',
        'entry-1',
        'entry-1',
        coordination.CallKind.SUBMIT,
        job_search.QUEUE.host,
        f'{PREFIXES["closed"]}{context.job_id}',
        state.JobSpec(context.job_id, 'text', (key_world.STEP,)),
        _plans.digest_key(OLD_KEYS['first'][0]),
    )
    answering.receive(call)
    world.loop.call_soon(
        lambda: state.apply_to_jobs(
            core.state.jobs, state.PlanReplaced(_plans.parse_plan(source))
        )
    )
    context.answer = world.wait_for_answer('call-0')


@when('the leader is {away} and first loses its old key under the next leader')
def leave_leader(context: Any, away: str) -> None:
    world = context.world
    context.former = world.leader_node()
    name = context.former.identity.replica_id
    others = [n for n in job_search.CONTROLS if n != name]
    world.network.isolate(name, others)
    if away == 'frozen':
        context.former.frozen_until_s = world.now_s + 60
    running = [n for n in world.controls.values() if n is not context.former]
    world.advance_until(
        lambda: any(world.answering(n).has_lease() for n in running),
        job_world.START_S,
    )
    world.advance_until(
        lambda: world.leader_node() is not context.former, job_world.START_S
    )
    revoke(context)


@when('the former leader gets calls with {key} as it {returns}')
def call_former_leader(context: Any, key: str, returns: str) -> None:
    world = context.world
    calls = []
    if returns == 'wakes':
        context.former.frozen_until_s = world.now_s
        world.network.heal()
    for number in range(10):
        for kind in ('submit', 'show', 'cancel', 'count'):
            job_id = f'{50 + number:016x}'
            calls.append(world.send(context.former, kind, key_of(key), job_id))
        world.advance(CALL_INTERVAL_S / 5)
    world.network.heal()
    context.answers = [world.wait_for_answer(call) for call in calls]


@then("it says only that it doesn't lead")
def check_no_lead(context: Any) -> None:
    outcomes = {answer.outcome for answer in context.answers}
    assert outcomes == {OUTCOMES.UNAVAILABLE}, context.answers


@when('a replica sleeps while first loses its old key')
def sleep_through(context: Any) -> None:
    world = context.world
    leader = world.leader_node()
    context.sleeper = next(
        node for node in world.controls.values() if node is not leader
    )
    world._stop_control(context.sleeper)
    revoke(context)


@when('that replica wakes and leads')
def wake_sleeper(context: Any) -> None:
    context.world._start_control(context.sleeper)
    context.world.advance(2.0)
    context.world.make_leader(context.sleeper)


@when('that replica gets a snapshot in its place and leads')
def install_snapshot(context: Any) -> None:
    world = context.world
    for node in world._running():
        node.core.compact(node.clock.read(world.now_s))
    wake_sleeper(context)
    log = context.sleeper.core.replica.log
    assert log.snapshot_index > 0, 'no snapshot was installed'


@when('every replica restarts')
def restart_all(context: Any) -> None:
    world = context.world
    world._start_control(context.sleeper)
    world.restart_all()


def store_by_former_version(context: Any, keys: key_world.Keys) -> None:
    """Commit a configuration as the former version does."""
    world = context.world
    world.version += 1
    source = key_world.write_configuration(world.version, keys)
    record = state.PlanReplaced(key_world.read_by_former_version(source))
    node = world.leader_node()
    node.core.propose_job_record(record, node.clock.read(world.now_s))
    calls = []
    for _ in range(20):
        for key in ('', UNKNOWN_KEY):
            calls.append(world.send(node, 'count', key))
        world.advance(CALL_INTERVAL_S / 5)
    context.answers = [world.wait_for_answer(call) for call in calls]


@when(
    'the former version stores a configuration in which second has a new key'
)
def store_new_key(context: Any) -> None:
    store_by_former_version(
        context, {**OLD_KEYS, 'second': ('secret-second-new',)}
    )


@when(
    'the former version stores a configuration in which two customers share '
    'a key'
)
def store_shared_key(context: Any) -> None:
    store_by_former_version(context, {**OLD_KEYS, 'second': OLD_KEYS['first']})


@then('no call was served without a known key')
def check_none_served(context: Any) -> None:
    served = [a for a in context.answers if a.outcome is OUTCOMES.DONE]
    assert not served, served
    assert any(is_key_refused(answer) for answer in context.answers)


@then('calls get no answer but that nobody can serve them')
def check_none_answered(context: Any) -> None:
    for key in ('', UNKNOWN_KEY, OLD_KEYS['first'][0]):
        submit(context, key, 'closed')
        assert context.answer.outcome is OUTCOMES.UNAVAILABLE, context.answer


@when('the leader stops')
def stop_leader(context: Any) -> None:
    world = context.world
    world._stop_control(world.leader_node())
    world.advance_until(world.has_leader, job_world.START_S)


@then('the open queue still needs no key')
def check_open_queue(context: Any) -> None:
    submit(context, '', 'open')
    check_answer(context, 'done')


@when('the keys of first change, second goes and third comes')
def change_customers(context: Any) -> None:
    context.recorder.lines.clear()
    context.world.trace.clear()
    context.world.configure(
        {
            'first': ('secret-first-new', 'secret-first-newer'),
            'third': ('secret-third-old',),
        }
    )
    for key in (UNKNOWN_KEY, '', 'secret-second-old', 'secret-third-old'):
        submit(context, key, 'closed')
        context.answers.append(context.answer)


@then(
    'the log names third as added, second as removed, and counts 3 keys '
    'added and 2 removed'
)
def check_change_line(context: Any) -> None:
    lines = [t for t in context.world.trace if 'customers_changed' in t]
    (line,) = lines
    for field in (
        'added=third ',
        'removed=second ',
        'keys_added=3',
        'keys_removed=2',
    ):
        assert field in f'{line} ', line


@then('neither log nor answers contain a key')
def check_no_key_shown(context: Any) -> None:
    lines = [*context.recorder.lines, *context.world.trace]
    assert any('key_refused' in line for line in lines), lines
    shown = [line for line in [*lines, *map(str, context.answers)]]
    assert not [line for line in shown if 'secret' in line]
