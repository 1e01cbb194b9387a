"""Builds the pages of a control process's interface for operators."""

from greengagering import coordination
from greengagering.protocol import pages
from greengagering import state
from greengagering.transport._control_node import ControlNode
from greengagering.transport import _http
from greengagering.transport import _link_pages

UNSEEN = 'unseen'


def ticket_page(entry: state.TicketEntry) -> pages.TicketPage:
    """Return one accepted ticket."""
    return pages.TicketPage(
        ticket=entry.ticket,
        digest=entry.digest,
        revision=entry.revision,
        accepted_at_ms=entry.accepted_at_ms,
        in_force_at_ms=entry.in_force_at_ms,
    )


def history_page(control: state.ControlState) -> pages.HistoryPage:
    """Return the ticket history."""
    return pages.HistoryPage(
        tuple(_summary(entry) for entry in control.history.values())
    )


def fleet_page(node: ControlNode) -> pages.FleetPage:
    """Return the fleet with its budgets, entries and VMs."""
    fleet = node.core.state.fleet
    return pages.FleetPage(
        revision=fleet.revision,
        confirmed_revision=node.core.confirmed_revision,
        services=tuple(_service_lines(node)),
        entries=entry_lines(node),
        vms=tuple(
            _vm_line(node, fleet.vms[name]) for name in sorted(fleet.vms)
        ),
    )


def wave_page(node: ControlNode, name: str) -> pages.WavePage | None:
    """Return a wave's progress, or None if the wave is unknown."""
    fleet = node.core.state.fleet
    wave = fleet.waves.get(name)
    if wave is None:
        return None
    progress = fleet.progress[name]
    targets = coordination.wave_targets(fleet, wave)
    running = [
        vm
        for vm in fleet.vms.values()
        if vm.wave == name and vm.phase is not state.VmPhase.SERVING
    ]
    taken = set(progress.done) | {vm.name for vm in running}
    waiting = [vm for vm in targets if vm.name not in taken]
    view = node.core.view(node.now_s(), node.now_ms())
    reasons = coordination.find_wait_reasons(view, wave)
    return pages.WavePage(
        wave=name,
        ticket_number=progress.ticket_number,
        intent=wave.intent,
        started_at_ms=progress.started_at_ms,
        finished_at_ms=progress.finished_at_ms,
        stopped_reason=progress.stopped_reason,
        done=tuple(progress.done),
        running=tuple(_vm_line(node, vm) for vm in running),
        failed=tuple(progress.failed),
        waiting=tuple(
            _vm_line(node, vm, reasons.get(vm.name, '')) for vm in waiting
        ),
    )


def members_page(node: ControlNode) -> pages.MembersPage:
    """Return the control replicas."""
    wanted = node.core.state.fleet.control
    return pages.MembersPage(
        leader_id=node.replica.leader_id,
        members=tuple(_member_pages(node, node.now_s())),
        wanted=tuple(member.replica_id for member in wanted),
        waiting=node.core.membership_waiting,
    )


def control_dump(node: ControlNode) -> pages.ControlDump:
    """Return the internal state of the process."""
    replica = node.replica
    now_s = node.now_s()
    return pages.ControlDump(
        replica_id=replica.identity.replica_id,
        incarnation=replica.identity.incarnation,
        role=replica.role,
        term=replica.term,
        leader_id=replica.leader_id,
        commit_index=replica.commit_index,
        last_index=replica.log.last_index,
        snapshot_index=replica.log.snapshot_index,
        revision=node.core.state.fleet.revision,
        confirmed_revision=node.core.confirmed_revision,
        has_lease=replica.has_lease(now_s),
        storage_fault=replica.storage_fault,
        rejected_identities=replica.rejected_identities,
        members=tuple(_member_pages(node, now_s)),
        entries=entry_lines(node),
        ticket_count=len(node.core.state.history),
        vm_count=len(node.core.state.fleet.vms),
        upstream_count=len(node.core.statuses),
        links=_link_pages.link_lines(node.mesh),
        resident_memory_mb=_http.resident_memory_mb(),
        customers=customer_lines(node.core.jobs, now_s),
    )


def customer_lines(
    scheduler: coordination.JobScheduler, now_s: float
) -> tuple[pages.CustomerLine, ...]:
    """Return the customers of the plan in force, if the process leads."""
    plan = scheduler.jobs.plan
    if plan is None or not scheduler.is_leading:
        return ()
    views = scheduler.submissions.describe_customers(now_s)
    limits = scheduler.limits
    at_limit = set(limits.customers_at_limit)
    return tuple(
        pages.CustomerLine(
            customer=customer.name,
            weight=customer.weight,
            running=limits.usage.used(customer.name),
            limit=customer.limit,
            waiting_tasks=view.waiting,
            is_at_limit=customer.name in at_limit,
            share_due=round(view.share_due, 4),
            beyond_rate_tasks=view.waiting_beyond,
            oldest_wait_s=round(view.oldest_wait_s, 3),
            refused_jobs=view.refused,
        )
        for customer, view in zip(plan.customers, views, strict=True)
    )


def entry_lines(node: ControlNode) -> tuple[pages.EntryLine, ...]:
    """Return the entries that hold a lease by the leader's clock."""
    sessions = node.core.sessions
    if sessions is None:
        return ()
    now_s = node.now_s()
    return tuple(
        pages.EntryLine(
            entry_id=session.entry_id,
            address=session.address,
            confirmed_revision=session.applied_revision,
            lease_left_s=round(session.lease_ends_s - now_s, 3),
        )
        for session in sessions.live(now_s)
    )


def _summary(entry: state.TicketEntry) -> pages.TicketSummary:
    return pages.TicketSummary(
        number=entry.ticket.number,
        author=entry.ticket.author,
        reason=entry.ticket.reason,
        touched=tuple(entry.ticket.touched()),
        revision=entry.revision,
        accepted_at_ms=entry.accepted_at_ms,
        in_force_at_ms=entry.in_force_at_ms,
    )


def _service_lines(node: ControlNode) -> list[pages.ServiceLine]:
    view = node.core.view(node.now_s(), node.now_ms())
    counts = coordination.count_services(view).counts()
    budgets = node.core.state.fleet.budgets
    lines = []
    for service in sorted(counts):
        budget = budgets.get(service)
        lines.append(
            pages.ServiceLine(
                service=service,
                available_vms=counts[service].available,
                out_vms=counts[service].out,
                min_available_vms=budget.min_available_vms if budget else 0,
            )
        )
    return lines


def _vm_line(
    node: ControlNode, vm: state.Vm, waiting: str = ''
) -> pages.VmLine:
    status = node.core.statuses.get(vm.name)
    return pages.VmLine(
        vm=vm.name,
        pool=vm.pool,
        phase=vm.phase,
        upstream=status.upstream.state if status else UNSEEN,
        data_centre=vm.facts.data_centre if vm.facts else '',
        rack=vm.facts.rack if vm.facts else '',
        wave=vm.wave if vm.phase is not state.VmPhase.SERVING else '',
        ticket_number=vm.ticket_number,
        waiting=waiting or node.core.decisions.waiting.get(vm.name, ''),
    )


def _member_pages(node: ControlNode, now_s: float) -> list[pages.MemberPage]:
    replica = node.replica
    members = []
    for replica_id in replica.membership.members:
        progress = replica.progress.get(replica_id)
        match_index = progress.match_index if progress else 0
        answered_ago_s = -1.0
        if progress and progress.acked_sent_at_s > 0:
            answered_ago_s = round(now_s - progress.acked_sent_at_s, 3)
        if replica_id == replica.identity.replica_id:
            match_index = replica.log.last_index
            answered_ago_s = 0.0
        members.append(
            pages.MemberPage(
                replica_id=replica_id,
                address=node.address_of(replica_id),
                is_voter=replica_id in replica.membership.voters,
                is_in_step=replica.is_in_step(replica_id, now_s),
                match_index=match_index,
                answered_ago_s=answered_ago_s,
            )
        )
    return members
