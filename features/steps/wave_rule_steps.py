"""Steps that pass single upstream statuses to the decisions on waves."""

import dataclasses
from typing import Any

from behave import given
from behave import then
from behave import when

from greengagering import coordination
from greengagering import state

FACTS = state.VmFacts('dc-1', 'rack-1', 8, 64)


def decide(context: Any, boot_id: str, idle_revision: int) -> None:
    """Decide on the wave, given one status of vm-1."""
    upstream = coordination.Upstream(
        vm='vm-1',
        pool='pool-a',
        address='10.0.0.1:80',
        facts=FACTS,
        boot_id=boot_id,
        boot_started_at_ms=ord(boot_id),
        sequence=3,
        state=coordination.UpstreamState.UP,
    )
    status = coordination.UpstreamStatus(upstream, 0, idle_revision, 0.0)
    context.decisions = coordination.decide_waves(
        coordination.FleetView(
            fleet=context.fleet,
            statuses={'vm-1': status},
            confirmed_revision=100,
            busy_vms=frozenset(),
            now_ms=5000,
        )
    )


def apply(context: Any, revision: int, record: state.Record) -> None:
    """Apply a record to the fleet's state."""
    state.apply_to_fleet(context.fleet, revision, record)


@given('vm-1 drains for a wave since boot a')
def make_draining(context: Any) -> None:
    context.fleet = state.FleetState()
    ticket = state.Ticket(
        1,
        'operator',
        'kernel update',
        pools=(state.Pool('pool-a', 'service-a', ('vm-1', 'vm-2')),),
        waves=(state.Wave('spring', vms=('vm-1',)),),
    )
    apply(context, 1, state.TicketSubmitted(ticket, 'digest', 1000))
    draining = state.VmPhaseChanged(
        'vm-1', state.VmPhase.DRAINING, 'spring', 1, 2000, boot_id='a'
    )
    apply(context, 10, draining)


@when('vm-1 has restarted as boot b and is idle')
def restart(context: Any) -> None:
    decide(context, 'b', idle_revision=10)


@then('it is to be rebooted')
def check_reboot(context: Any) -> None:
    (record,) = context.decisions.records
    assert isinstance(record, state.VmPhaseChanged)
    assert record.phase is state.VmPhase.REBOOTING
    apply(context, 11, record)
    context.operation_id = record.operation_id


@when('still boot {boot_id} announces itself')
@when('boot {boot_id} announces itself')
def announce(context: Any, boot_id: str) -> None:
    decide(context, boot_id, idle_revision=10)


@then('the reboot is ordered and vm-1 is not counted as done')
def check_ordered(context: Any) -> None:
    assert context.decisions.records == [], context.decisions
    (order,) = context.decisions.reboots
    assert order.operation_id == context.operation_id


@then('vm-1 is counted as done')
def check_done(context: Any) -> None:
    (record,) = context.decisions.records
    apply(context, 12, dataclasses.replace(record))
    assert context.fleet.progress['spring'].done == ['vm-1']


@when('vm-1 was idle before the drain was in force everywhere')
def idle_early(context: Any) -> None:
    decide(context, 'a', idle_revision=9)


@then('nothing is decided and vm-1 waits')
def check_waits(context: Any) -> None:
    assert context.decisions.records == [], context.decisions
    assert 'calls in flight there' in context.decisions.waiting['vm-1']
