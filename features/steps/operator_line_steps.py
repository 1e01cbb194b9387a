"""Steps about the lines of the log on an operator's orders."""

import asyncio
import json
import types
from typing import Any
from unittest import mock

from aiohttp import streams
from aiohttp import test_utils
from aiohttp import web
from behave import given
from behave import then
from behave import when
from result import Err
from result import Ok

from greengagering.platform import _control_app
from greengagering import state

CONFIGURATION = {
    'version': 3,
    'routes': [],
    'services': [],
    'limits': {'maxBodyBytes': 1000},
}


class FakeNode:
    """The part of a control node that the operator's orders use.

    Attributes:
        time_s: its clock.
        commit_s: how long a commit takes.
        leader: link address of the leader, or ''.
        has_lead: whether it leads.
        is_lost: whether it loses the lead during a commit.
    """

    def __init__(self) -> None:
        self.time_s = 100.0
        self.commit_s = 0.0
        self.leader = ''
        self.has_lead = False
        self.is_lost = False
        self.settings = types.SimpleNamespace(
            link_address='10.0.0.1:7000', http_address='10.0.0.1:8000'
        )
        self.core = types.SimpleNamespace(
            state=types.SimpleNamespace(jobs=state.JobsState())
        )

    def now_s(self) -> float:
        """Return its clock."""
        return self.time_s

    def has_lease(self) -> bool:
        """Tell whether it leads."""
        return self.has_lead

    def leader_address(self) -> str:
        """Return the leader's link address."""
        return self.leader

    async def commit(self, _: state.JobRecord) -> Any:
        """Commit a record, which takes its time."""
        self.time_s += self.commit_s
        return Err('not_leader') if self.is_lost else Ok(None)


@given('a replica that leads, and takes {commit_s:g} s to commit')
def lead(context: Any, commit_s: float) -> None:
    context.node = FakeNode()
    context.node.has_lead = True
    context.node.commit_s = commit_s


@given('a replica that leads, and loses the lead after {lost_s:g} s')
def lead_shortly(context: Any, lost_s: float) -> None:
    lead(context, lost_s)
    context.node.is_lost = True


@given('a replica that follows {leader}')
def follow(context: Any, leader: str) -> None:
    context.node = FakeNode()
    context.node.leader = '10.0.0.2:7000' if leader != 'nobody' else ''


@when('a configuration arrives whose body takes {body_s:g} s')
def send_configuration(context: Any, body_s: float) -> None:
    node = context.node

    async def read_body(*_: Any) -> bytes:
        node.time_s += body_s
        return json.dumps(CONFIGURATION).encode()

    async def handle() -> web.StreamResponse:
        app = web.Application()
        _control_app.ControlApp(node).add_routes(app)
        request = test_utils.make_mocked_request(
            'POST', '/config/replace', app=app, payload=streams.EMPTY_PAYLOAD
        )
        match = await app.router.resolve(request)
        return await match.handler(request)

    with (
        mock.patch.object(_control_app.control, 'read_body', read_body),
        mock.patch.object(_control_app.logs, 'info') as info,
    ):
        context.response = asyncio.run(handle())
    context.lines = [(call.args[0], call.kwargs) for call in info.mock_calls]


@then(
    'the line of {event} gives {read_s:g} s for reading and {commit_s:g} s '
    'for the commit'
)
def check_stages(
    context: Any, event: str, read_s: float, commit_s: float
) -> None:
    ((found, fields),) = context.lines
    assert found == event, context.lines
    assert fields['read_s'] == read_s, fields
    assert fields['commit_s'] == commit_s, fields
    assert fields['number'] == CONFIGURATION['version'], fields


@then('a line says that it was answered {status:d}')
def check_passed_on(context: Any, status: int) -> None:
    assert context.response.status == status
    ((event, fields),) = context.lines
    assert event == 'order_passed_on', context.lines
    assert fields['status'] == status, fields
