"""Steps that drive an entry's job gateway under a virtual clock."""

from typing import Any

from behave import given
from behave import then
from behave import when

from greengagering import coordination
from greengagering import state

TICK_S = 0.05
SPEC = state.JobSpec(
    '0123456789abcdef', 'text', (state.StepSpec(1, state.Room(1, 1)),)
)


def status(name: str, leader: str) -> coordination.ControlStatus:
    """Return a control process's status message about the leader."""
    return coordination.ControlStatus(
        replica_id=name,
        address=name,
        leader_id=leader,
        leader_address=leader,
        is_leader=name == leader,
        members=(),
        max_body_bytes=1000,
        number=0,
        term=int(name.rpartition('-')[2]),
    )


def step(context: Any, seconds: float) -> None:
    """Let time pass, and record the messages sent and the answers."""
    ends_s = context.now_s + seconds
    while context.now_s < ends_s:
        context.now_s += TICK_S
        if context.leading:
            name = context.leading
            context.gateway.receive(name, status(name, name), context.now_s)
        context.gateway.step(context.now_s)
        for outgoing in context.gateway.take_outbox():
            context.sent.append((context.now_s, outgoing))
        for answer in context.gateway.take_answers():
            context.answers.append((context.now_s, answer))


def calls_to(context: Any, address: str) -> list[coordination.JobCall]:
    """Return the calls that were sent to a control process."""
    return [
        outgoing.message
        for _, outgoing in context.sent
        if outgoing.address == address
        and isinstance(outgoing.message, coordination.JobCall)
    ]


def probes_to(context: Any, address: str) -> list[float]:
    """Return the times at which a control process was probed."""
    return [
        at_s
        for at_s, outgoing in context.sent
        if outgoing.address == address
        and isinstance(outgoing.message, coordination.ControlProbe)
    ]


def answer(context: Any, name: str, outcome: coordination.JobOutcome) -> None:
    """Answer the scenario's call as a control process."""
    message = coordination.JobAnswer(context.call_id, outcome)
    context.gateway.receive(name, message, context.now_s)


@given('an entry that knows the seeds {first} and {second}')
def new_gateway(context: Any, first: str, second: str) -> None:
    context.gateway = coordination.JobGateway(
        'entry-1', 'entry-1', (first, second), 'boot-1', 'dc-1'
    )
    context.now_s = 100.0
    context.leading = ''
    context.sent = []
    context.answers = []


@given('{name} leads')
def set_leader(context: Any, name: str) -> None:
    context.leading = name
    context.first_status = status(name, name)
    step(context, 0.2)


@when('{name} falls silent and {other} leads')
def change_leader(context: Any, name: str, other: str) -> None:
    assert context.leading == name
    context.leading = ''
    step(context, 1.3)
    context.leading = other
    step(context, 0.8)


@when("{name} answers that it can't decide, and {other} leads")
def depose_leader(context: Any, name: str, other: str) -> None:
    for call in calls_to(context, name):
        answer = coordination.JobAnswer(
            call.call_id, coordination.JobOutcome.UNAVAILABLE
        )
        context.gateway.receive(name, answer, context.now_s)
    change_leader(context, name, other)


@when('{name} answers that it {reason}, and no other process leads')
def refuse_without_leader(context: Any, name: str, reason: str) -> None:
    context.leading = ''
    refuse_untouched(context, name, is_untouched=reason == "doesn't lead")
    step(context, 3)


@when("{name} answers that it doesn't lead, and {other:w}-{number:d} leads")
def refuse_for_other(context: Any, name: str, other: str, number: int) -> None:
    context.leading = f'{other}-{number}'
    refuse_untouched(context, name, is_untouched=True)
    step(context, 0.2)
    assert calls_to(context, context.leading)


def refuse_untouched(context: Any, name: str, *, is_untouched: bool) -> None:
    """Refuse the scenario's call as a process that doesn't lead."""
    refusal = coordination.JobAnswer(
        context.call_id,
        coordination.JobOutcome.UNAVAILABLE,
        is_untouched=is_untouched,
    )
    context.gateway.receive(name, refusal, context.now_s)


@when('time passes without an answer')
def pass_time(context: Any) -> None:
    step(context, 1.5)


@when('{name} answers that {leader} leads')
def answer_other(context: Any, name: str, leader: str) -> None:
    if leader == 'it':
        context.leading = name
        step(context, 0.1)
        return
    context.gateway.receive(name, status(name, leader), context.now_s)
    step(context, 0.1)
    assert probes_to(context, leader)


@when('a job is submitted with a deadline in {seconds:g} s')
def submit_job(context: Any, seconds: float) -> None:
    context.submitted_s = context.now_s
    context.call_id = context.gateway.submit(
        coordination.CallKind.SUBMIT,
        'host',
        f'/a/{SPEC.job_id}',
        SPEC,
        context.now_s + seconds,
        context.now_s,
    )
    step(context, 0.1)


@when('{count:d} jobs are submitted with a deadline in {seconds:g} s')
def submit_jobs(context: Any, count: int, seconds: float) -> None:
    for _ in range(count):
        context.call_id = context.gateway.submit(
            coordination.CallKind.SUBMIT,
            'host',
            f'/a/{SPEC.job_id}',
            SPEC,
            context.now_s + seconds,
            context.now_s,
        )


@when('{name} answers it as done')
def answer_done(context: Any, name: str) -> None:
    answer(context, name, coordination.JobOutcome.DONE)
    step(context, 0.1)


@when('a call to {kind:w} a job is sent')
def send_call(context: Any, kind: str) -> None:
    context.call_id = context.gateway.submit(
        coordination.CallKind(kind),
        'host',
        f'/a/{SPEC.job_id}',
        None,
        context.now_s + 3,
        context.now_s,
        'digest',
    )
    step(context, 0.1)
    (call,) = calls_to(context, context.leading)
    assert call.key_digest == 'digest'


@when('{name} refuses its key')
def refuse_key(context: Any, name: str) -> None:
    message = coordination.JobAnswer(
        context.call_id,
        coordination.JobOutcome.OVERLOADED,
        cause=coordination.RefusalCause.UNKNOWN_KEY,
    )
    context.gateway.receive(name, message, context.now_s)
    step(context, 0.1)


@when('its caller disconnects')
def disconnect_caller(context: Any) -> None:
    context.gateway.forget(context.call_id)
    context.sent.clear()
    step(context, 2)


@then('both seeds are asked again and again')
def check_probes(context: Any) -> None:
    for seed in ('control-1', 'control-2'):
        assert len(probes_to(context, seed)) >= 5, context.sent


@then('the entry is ready, and only {name} is asked from then on')
def check_ready(context: Any, name: str) -> None:
    assert context.gateway.is_ready(context.now_s)
    context.sent.clear()
    step(context, 2)
    assert {outgoing.address for _, outgoing in context.sent} == {name}


@then('it is sent to {name}')
def check_sent(context: Any, name: str) -> None:
    calls = calls_to(context, name)
    assert [call.call_id for call in calls][:1] == [context.call_id], calls


@then('the caller gets the outcome {outcome:w}')
def check_outcome(context: Any, outcome: str) -> None:
    (answer,) = [answer for _, answer in context.answers]
    assert answer.outcome == outcome, answer


@then('the caller gets the outcome {outcome:w} after {seconds:g} s')
def check_outcome_after(context: Any, outcome: str, seconds: float) -> None:
    ((at_s, answer),) = context.answers
    assert answer.outcome == outcome, answer
    waited_s = at_s - context.submitted_s
    assert abs(waited_s - seconds) <= 2 * TICK_S, waited_s


@then('the answer says when to retry')
def check_retry(context: Any) -> None:
    assert context.answers[0][1].retry_after_s > 0


@then('nothing is sent any more, and no answer is kept')
def check_forgotten(context: Any) -> None:
    assert not calls_to(context, 'control-1')
    assert not context.gateway.open_calls
    assert not context.answers


@then('the last caller gets the outcome overloaded at once')
def check_overloaded(context: Any) -> None:
    (answer,) = context.gateway.take_answers()
    assert answer.call_id == context.call_id
    assert answer.outcome == coordination.JobOutcome.OVERLOADED


@when('a delayed message arrives that {name} leads')
def deliver_late_status(context: Any, name: str) -> None:
    context.gateway.receive(name, context.first_status, context.now_s)


@when("{name} answers too late that it can't decide")
def deliver_late_refusal(context: Any, name: str) -> None:
    answer(context, name, coordination.JobOutcome.UNAVAILABLE)


@when('{name} answers that there is no such queue')
def refuse_queue(context: Any, name: str) -> None:
    answer(context, name, coordination.JobOutcome.NO_QUEUE)
    step(context, 0.1)


@then('the entry is still ready')
def check_still_ready(context: Any) -> None:
    assert context.gateway.is_ready(context.now_s)
