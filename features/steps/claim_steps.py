"""Steps about idempotency keys."""

import asyncio
import time
from typing import Any

from behave import then
from behave import when

from features.steps.whole_path_steps import call_url
from features.steps.whole_path_steps import DEADLINE
from features.support import web

ISSUED_AT = 'Greengagering-Key-Issued-At-Ms'
KEY = 'Idempotency-Key'
WORK_COUNT = 30


def key_headers(context: Any, key: str, age_s: float = 0) -> dict[str, str]:
    """Return the headers of keyed work; a key keeps its first issue time."""
    if not hasattr(context, 'issued'):
        context.issued = {}
        context.answers = []
    issued_ms = int((time.time() - age_s) * 1000)
    issued_ms = context.issued.setdefault(key, issued_ms)
    return {KEY: key, ISSUED_AT: str(issued_ms)}


async def post(
    context: Any,
    entry: str,
    key: str,
    query: str = '',
    body: bytes = b'reroute',
    deadline_ms: int = 10_000,
) -> web.Answer:
    """Send keyed work."""
    headers = {**key_headers(context, key), DEADLINE: str(deadline_ms)}
    url = call_url(context, entry, 'dispatch', query)
    return await web.request('POST', url, body, headers)


def send(context: Any, entry: str, key: str, query: str = '') -> None:
    """Send keyed work and keep the answer."""
    key_headers(context, key)
    answer = context.system.thread.run(post(context, entry, key, query))
    context.answers.append(answer)


def count_runs(context: Any, key: str) -> int:
    """Return how often upstreams have started work under a key."""
    upstreams = context.system.upstreams.values()
    return sum(u.counts.by_key[key] for u in upstreams)


@when('work {key} is sent through {entry}')
def send_once(context: Any, key: str, entry: str) -> None:
    send(context, entry, key)


@when('work {key} is sent again through each entry')
def send_both(context: Any, key: str) -> None:
    send(context, 'entry-1', key)
    send(context, 'entry-2', key)


@when('long work {key} of {sleep_ms:d} ms is sent through {entry}')
def start_work(context: Any, key: str, sleep_ms: int, entry: str) -> None:
    context.query = f'?sleep_ms={sleep_ms}'
    key_headers(context, key)
    context.started = context.system.thread.start(
        post(context, entry, key, context.query)
    )
    context.system.wait_until(
        lambda: count_runs(context, key) > 0, f'work {key} runs'
    )


@when('long work {key} of {sleep_ms:d} ms is joined through {entry}')
def join_work(context: Any, key: str, sleep_ms: int, entry: str) -> None:
    send(context, entry, key, context.query)
    context.answers.append(context.started.result(30))


@when('long work {key} of {sleep_ms:d} ms is sent again through {entry}')
def send_again_slow(context: Any, key: str, sleep_ms: int, entry: str) -> None:
    send(context, entry, key, context.query)


@when('work {key} is sent again through {entry}')
def send_again(context: Any, key: str, entry: str) -> None:
    send(context, entry, key)


@when('long work {key} of {sleep_ms:d} ms is sent {count:d} times at once')
def send_many(context: Any, key: str, sleep_ms: int, count: int) -> None:
    key_headers(context, key)

    async def send_all() -> list[web.Answer]:
        query = f'?sleep_ms={sleep_ms}'
        sends = [
            post(context, context.entries[n % 2], key, query)
            for n in range(count)
        ]
        return list(await asyncio.gather(*sends))

    context.answers += context.system.thread.run(send_all())


@when(
    'the caller of long work {key} of {sleep_ms:d} ms through {entry} '
    'disconnects'
)
def disconnect(context: Any, key: str, sleep_ms: int, entry: str) -> None:
    start_work(context, key, sleep_ms, entry)
    context.started.cancel()
    time.sleep(0.1)


@when('other work under key {key} is sent through {entry}')
def send_other(context: Any, key: str, entry: str) -> None:
    context.answers.append(
        context.system.thread.run(post(context, entry, key, body=b'other'))
    )


@when('failing work {key} with fault {fault} is sent through {entry}')
@when('failing work {key} with fault {fault} is sent again through {entry}')
def send_fault(context: Any, key: str, fault: str, entry: str) -> None:
    send(context, entry, key, f'?fault={fault}')


@when('entry-1 is killed while it runs')
def kill_entry(context: Any) -> None:
    context.system.processes['entry-1'].kill()


@when(
    'the leader is killed while {count:d} pieces of work are sent through '
    'both entries'
)
def kill_leader(context: Any, count: int) -> None:
    system = context.system
    leader = system.leader()
    context.keys = [f'work-{n}' for n in range(count)]
    for key in context.keys:
        key_headers(context, key)

    async def send_all() -> list[web.Answer]:
        sends = []
        for number, key in enumerate(context.keys):
            entry = context.entries[number % 2]
            sends.append(
                asyncio.ensure_future(
                    post(context, entry, key, '?sleep_ms=50')
                )
            )
            await asyncio.sleep(0.01)
            if number == count // 2:
                system.processes[leader].kill()
        return list(await asyncio.gather(*sends))

    first = system.thread.run(send_all())
    context.by_key = {k: [a] for k, a in zip(context.keys, first, strict=True)}


@when('each of them is sent again through both entries until it is answered')
def send_until_answered(context: Any) -> None:
    for key in context.keys:
        for entry in context.entries:
            context.system.wait_until(
                lambda key=key, entry=entry: _is_final(context, key, entry),
                f'{key} is answered through {entry}',
            )


def _is_final(context: Any, key: str, entry: str) -> bool:
    answer = context.system.thread.run(
        post(context, entry, key, '?sleep_ms=50')
    )
    context.by_key[key].append(answer)
    return answer.status in (200, 409)


@then('each of them has run at most once and its answers agree')
def check_each(context: Any) -> None:
    for key, answers in context.by_key.items():
        count = count_runs(context, key)
        assert count <= 1, (key, count)
        for answer in answers:
            if answer.outcome == 'answered':
                assert count == 1, key
                assert answer.body == b'reroute', answer
            if answer.outcome == 'not-run':
                before = answers[: answers.index(answer)]
                assert all(a.outcome != 'answered' for a in before), key
    # Claimed work is run by an entry that stays up, so all is answered.
    unfinished = {
        key: [(a.status, a.reason, a.elapsed_s) for a in answers]
        for key, answers in context.by_key.items()
        if answers[-1].outcome != 'answered'
    }
    assert not unfinished, unfinished


@when('short-deadline work {key} of {deadline:d} ms is sent through {entry}')
def send_deadline(context: Any, key: str, entry: str, deadline: int) -> None:
    key_headers(context, key)
    context.answers.append(
        context.system.thread.run(
            post(context, entry, key, deadline_ms=deadline)
        )
    )


@when('old work {key} of {minutes:d} minutes ago is sent through {entry}')
def send_old(context: Any, key: str, minutes: int, entry: str) -> None:
    key_headers(context, key, age_s=minutes * 60)
    send(context, entry, key)


@when('work {key} is sent with {text} as the time of its key')
def send_untimed(context: Any, key: str, text: str) -> None:
    context.answer = context.system.thread.run(
        web.request(
            'POST',
            call_url(context, 'entry-1', 'dispatch'),
            b'reroute',
            {KEY: key, ISSUED_AT: text},
        )
    )


@when('two control replicas are killed')
def kill_two(context: Any) -> None:
    for name in list(context.system.members)[:2]:
        context.system.processes[name].kill()


@then('all answers are the same complete answer')
def check_same(context: Any) -> None:
    assert context.answers
    call_ids = set()
    for answer in context.answers:
        assert (answer.status, answer.body) == (200, b'reroute'), answer
        assert answer.outcome == 'answered', answer
        call_ids.add(answer.fields['Greengagering-Call-Id'])
    assert len(call_ids) == 1, call_ids


@then('work {key} has run once')
def check_once(context: Any, key: str) -> None:
    assert count_runs(context, key) == 1, count_runs(context, key)


@then('work {key} has not run')
def check_never(context: Any, key: str) -> None:
    assert count_runs(context, key) == 0, count_runs(context, key)


@then(
    'the last answer is {status:d} with outcome {outcome} and reason {reason}'
)
def check_last(context: Any, status: int, outcome: str, reason: str) -> None:
    answer = context.answers[-1]
    wanted = '' if reason == 'none' else reason
    shown = (answer.status, answer.outcome, answer.reason)
    assert shown == (status, outcome, wanted), (shown, answer.body)


@then('the last answer says unknown and has a Retry-After header')
def check_retry(context: Any) -> None:
    answer = context.answers[-1]
    assert answer.status == 503, answer
    assert answer.outcome == 'unknown', answer
    assert int(answer.fields['Retry-After']) > 0
