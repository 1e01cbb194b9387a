"""Steps about the texts of jobs in messages to agents."""

import asyncio
import dataclasses
from typing import Any

from behave import given
from behave import then
from behave import when

from features.steps import agent_rule_steps
from greengagering import coordination
from greengagering.protocol import links
from greengagering import state
from greengagering.transport._agent_runner import AgentRunner

PERMIT_S = 1.0


@dataclasses.dataclass(frozen=True)
class FormerOffer:
    """The fields of an agent's offer in the former version."""

    boot_id: str
    data_centre: str
    sent_at_s: float


@dataclasses.dataclass(frozen=True)
class FormerOrders:
    """The fields of a message to an agent in the former version."""

    address: str
    leader_boot_id: str
    boot_id: str
    term: int
    offered_at_s: float
    permit_s: float
    starts: tuple[tuple[int, coordination.StartOrder], ...] = ()
    stops: tuple[tuple[int, coordination.StopOrder], ...] = ()
    paces: tuple[tuple[int, coordination.PaceOrder], ...] = ()
    looks: tuple[tuple[int, coordination.LookOrder], ...] = ()
    offer_age_s: float | None = None


def create_offer(*, reads_job_starts: bool) -> coordination.AgentOffer:
    """Return an offer of an agent."""
    return coordination.AgentOffer(
        'boot-1',
        'dc-1',
        agent_rule_steps.START_S,
        reads_job_starts=reads_job_starts,
    )


@given('agents that read starts by job')
def new_agents(context: Any) -> None:
    context.offer = create_offer(reads_job_starts=True)


@given('agents of the former version')
def former_agents(context: Any) -> None:
    context.offer = create_offer(reads_job_starts=False)


@when(
    '{count:d} starts of a job with {size:d} bytes of text and 1 of another '
    'are ordered at one worker'
)
def order_starts(context: Any, count: int, size: int) -> None:
    usual = agent_rule_steps._start(0)
    context.starts = [
        dataclasses.replace(
            usual, key=state.RunKey('job', f'0.0.{n}', 1), text='x' * size
        )
        for n in range(count)
    ]
    context.starts.append(usual)

    async def act() -> None:
        leader = agent_rule_steps.Leader(agent_rule_steps.LARGE_FLEET)
        now_s = agent_rule_steps.VirtualClock.now_s
        for agent_id in list(leader.registry.agents):
            leader.registry.update_offer(agent_id, agent_id, None, now_s)
        leader.registry.update_offer(
            'entry-0', 'entry-0', context.offer, now_s
        )
        tasks = [
            asyncio.ensure_future(leader.client.start(start))
            for start in context.starts
        ]
        await agent_rule_steps._run_loop()
        (context.message,) = leader.sent['entry-0']
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await leader.client.close()

    with agent_rule_steps.virtual_clock():
        asyncio.run(act())


@then('the message takes less than {size:d} bytes on its way')
def check_size(context: Any, size: int) -> None:
    body = links.encode_message(context.message).body
    assert len(body) < size, len(body)


@then("the worker gets each start once, with its job's text")
def check_sent(context: Any) -> None:
    message = links.decode_message(links.encode_message(context.message))
    assert isinstance(message, coordination.AgentOrders), message
    context.permit_s = PERMIT_S

    async def act(runner: AgentRunner) -> None:
        runner.receive(message)
        await agent_rule_steps._run_loop()

    agent_rule_steps._run_agent(context, act)
    taken = sorted(context.workers.taken, key=lambda order: order.key.name)
    starts = sorted(context.starts, key=lambda order: order.key.name)
    assert taken == starts, taken
    numbers = sorted(number for number, _ in context.answers)
    assert numbers == list(range(1, len(starts) + 1)), numbers


@then(
    "the former version reads each start in the message, with its job's text"
)
def check_former(context: Any) -> None:
    body = state.encode(context.message)
    message = state.decode(body, FormerOrders)
    assert [start for _, start in message.starts] == context.starts, message


@then('the former version reads their offers')
def check_former_offer(context: Any) -> None:
    offer = state.decode(state.encode(context.offer), FormerOffer)
    assert offer.sent_at_s == context.offer.sent_at_s, offer
