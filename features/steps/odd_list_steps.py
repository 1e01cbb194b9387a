"""Steps that let workers, machines and the adviser answer with odd rows."""

import asyncio
from typing import Any

from aiohttp import web
from behave import given
from behave import then
from behave import when

from features.steps import odd_entry_steps
from features.support import ports
from greengagering import coordination
from greengagering.platform import _adviser_calls
from greengagering.platform import _machine_calls
from greengagering.platform import _worker_calls
from greengagering import state

RUN = ['0123456789abcdef.0.0.3', 1, 's', 50]
END = [4, '0123456789abcdef.0.0.2', 1, 'done', '']
KEY = state.RunKey('0123456789abcdef', '0.0.3', 1)


class Answering:
    """An HTTP server on loopback that gives the same answer to everything."""

    def __init__(self, body: bytes, address: str) -> None:
        self.body = body
        self.address = address

    async def run(self, action: Any) -> Any:
        """Await an action while the server listens."""
        app = web.Application()
        app.router.add_route('*', '/{path:.*}', self._answer)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        host, _, port = self.address.rpartition(':')
        await web.TCPSite(runner, host, int(port)).start()
        try:
            return await action()
        finally:
            await runner.cleanup()

    async def _answer(self, request: web.Request) -> web.Response:
        await request.read()
        return web.Response(body=self.body, content_type='application/json')


def _lists(**fields: Any) -> dict[str, Any]:
    return {'running': [RUN], 'ended': [END], 'wallClockMs': 5, **fields}


@given('a worker that lists {row} beside a run and an end')
def list_odd_row(context: Any, row: str) -> None:
    document = _lists()
    kind, _, text = row.removeprefix('the ').partition(' ')
    if kind == 'run':
        document['running'].insert(0, odd_entry_steps.parse_value(text))
    elif kind == 'end':
        document['ended'].append(odd_entry_steps.parse_value(text))
    # RUN and END are shared, and the lists above are new.
    context.body = odd_entry_steps.encode(document)


@given('a worker that answers {answer}')
def answer_oddly(context: Any, answer: str) -> None:
    context.body = {
        'lists nested too deeply': odd_entry_steps.encode(
            _lists(novelty=odd_entry_steps.PLACEHOLDER)
        ),
        'lists with a clock of 10^30': odd_entry_steps.encode(
            _lists(wallClockMs=odd_entry_steps.HUGE)
        ),
        'lists with a start of 10^30': odd_entry_steps.encode(
            _lists(born=odd_entry_steps.HUGE)
        ),
        "bytes that aren't JSON": b'\xff{',
    }[answer]


def _call_worker(context: Any, call: Any) -> Any:
    server = Answering(context.body, ports.free_address())
    life = state.WorkerFacts(
        'w', 1, 's', server.address, 'd', 'r', (), state.Room(1, 1)
    )

    async def act() -> Any:
        client = _worker_calls.WorkerCalls()
        try:
            return await call(client, life)
        finally:
            await client.close()

    return asyncio.run(server.run(act))


@when('the worker is polled')
def poll_worker(context: Any) -> None:
    context.answer = _call_worker(
        context,
        lambda client, life: client.poll(
            coordination.LookOrder(life, 2, 0, 0, 0)
        ),
    )


@when('the worker is ordered to stop a run')
def stop_run(context: Any) -> None:
    context.answer = _call_worker(
        context,
        lambda client, life: client.stop(coordination.StopOrder(life, KEY, 2)),
    )


@then('the order is done')
def check_done(context: Any) -> None:
    assert context.answer.outcome is coordination.OrderOutcome.DONE


@then('the run and the end are known')
def check_rows(context: Any) -> None:
    answer = context.answer
    assert answer.outcome is coordination.OrderOutcome.DONE, answer
    running = [(run.key.task_name, run.percent) for run in answer.running]
    assert running == [(RUN[0], RUN[3])], running
    assert [end.number for end in answer.ended] == [END[0]], answer.ended
    again = state.decode(state.encode(answer), coordination.LookAnswer)
    assert again == answer


@then('the lists count as {whole:w}')
def check_whole(context: Any, whole: str) -> None:
    assert context.answer.is_complete == (whole == 'complete')


@then('the poll has no answer')
def check_no_answer(context: Any) -> None:
    assert context.answer.outcome is coordination.OrderOutcome.NO_ANSWER


def _machine(name: str, pool: str) -> dict[str, Any]:
    return {
        'machine': name,
        'pool': pool,
        'state': 'up',
        'labels': ['a', 'r1'],
        'capacity': {'cpu': 8000, 'memMb': 100, 'gpu': 0},
        'id': f'i-{name}',
    }


@given('a machine service that lists m-1, m-2 and m-3')
def list_machines(context: Any) -> None:
    context.machines = [_machine(f'm-{n}', 'p') for n in (1, 2, 3)]


@when('its entry for m-2 becomes {entry}')
def change_entry(context: Any, entry: str) -> None:
    server = Answering(
        odd_entry_steps.encode({'machines': context.machines}),
        ports.free_address(),
    )
    odd = [
        _machine('m-1', 'q'),
        odd_entry_steps.parse_value(entry),
        _machine('m-3', 'p'),
    ]

    async def act() -> Any:
        client = _machine_calls.MachineCalls(server.address)
        try:
            context.former = await client.list_machines()
            server.body = odd_entry_steps.encode({'machines': odd})
            return await client.list_machines()
        finally:
            await client.close()

    context.listed = asyncio.run(server.run(act))


@then('m-1, m-2 and m-3 are still known, and m-1 as listed now')
def check_machines(context: Any) -> None:
    assert context.listed is not None
    pools = {machine.name: machine.pool for machine in context.listed}
    assert pools == {'m-1': 'q', 'm-2': 'p', 'm-3': 'p'}, pools


@then('{name} is still up')
def check_up(context: Any, name: str) -> None:
    assert context.listed is not None
    states = {machine.name: machine.status for machine in context.listed}
    up = coordination.MachineState.UP
    assert states == dict.fromkeys(('m-1', 'm-2', 'm-3'), up), states


@given('a machine service that lists m-1 and m-3, and m-2 in an odd entry')
def list_odd_entry(context: Any) -> None:
    odd = {**_machine('m-2', 'p'), 'labels': 'a'}
    context.machines = [_machine('m-1', 'p'), odd, _machine('m-3', 'p')]


@when('it is listed twice')
def list_twice(context: Any) -> None:
    body = odd_entry_steps.encode({'machines': context.machines})
    server = Answering(body, ports.free_address())

    async def act() -> Any:
        client = _machine_calls.MachineCalls(server.address)
        try:
            await client.list_machines()
            return await client.list_machines()
        finally:
            await client.close()

    context.listed = asyncio.run(server.run(act))


@then('{name} is in an unknown state, and the others are up')
def check_unknown(context: Any, name: str) -> None:
    assert context.listed is not None
    states = {machine.name: machine.status for machine in context.listed}
    assert states.pop(name) is coordination.MachineState.UNKNOWN, states
    up = coordination.MachineState.UP
    assert states == {'m-1': up, 'm-3': up}, states


@given('an adviser that permits worker-1 in a row beside an odd one')
def advise_oddly(context: Any) -> None:
    context.body = odd_entry_steps.encode(
        {'good': [['worker-1', 'permit'], [5], 'x']}
    )


@when('it is asked')
def ask_adviser(context: Any) -> None:
    server = Answering(context.body, ports.free_address())

    async def act() -> Any:
        client = _adviser_calls.AdviserCalls(server.address)
        try:
            return await client.request_advice(
                coordination.AdviceRequest('step', {'worker-1': 'worker-1@1'})
            )
        finally:
            await client.close()

    context.advice = asyncio.run(server.run(act))


@then('it permits worker-1 only')
def check_permits(context: Any) -> None:
    assert context.advice is not None
    assert context.advice.permits == {'worker-1': 'permit'}
