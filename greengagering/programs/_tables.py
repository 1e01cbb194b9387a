"""Formatting of HTTP answers as text tables."""

import datetime

import tabulate

from greengagering.protocol import pages

EMPTY_CELL = '-'


def format_time(at_ms: int) -> str:
    """Return a Unix time in milliseconds as UTC, or a dash for 0."""
    if not at_ms:
        return EMPTY_CELL
    moment = datetime.datetime.fromtimestamp(at_ms / 1000, datetime.UTC)
    return moment.strftime('%Y-%m-%d %H:%M:%S.') + f'{at_ms % 1000:03d}'


def ticket_table(page: pages.TicketPage) -> str:
    """Format one ticket."""
    ticket = page.ticket
    rows = [
        ('number', ticket.number),
        ('author', ticket.author),
        ('reason', ticket.reason),
        ('touches', ', '.join(ticket.touched())),
        ('revision', page.revision),
        ('accepted', format_time(page.accepted_at_ms)),
        ('in force', format_time(page.in_force_at_ms)),
        ('digest', page.digest),
    ]
    return tabulate.tabulate(rows, tablefmt='plain', disable_numparse=True)


def history_table(page: pages.HistoryPage) -> str:
    """Format the ticket history."""
    rows = [
        (
            summary.number,
            summary.author,
            summary.reason,
            ', '.join(summary.touched),
            format_time(summary.accepted_at_ms),
            format_time(summary.in_force_at_ms),
        )
        for summary in page.tickets
    ]
    head = ('number', 'author', 'reason', 'touches', 'accepted', 'in force')
    return tabulate.tabulate(rows, head, maxcolwidths=[None, 20, 40, 40])


def fleet_table(page: pages.FleetPage) -> str:
    """Format the fleet: services, entries, VMs."""
    services = tabulate.tabulate(
        [
            (s.service, s.available_vms, s.out_vms, s.min_available_vms)
            for s in page.services
        ],
        # Promised: the least number of VMs that the service's budget demands.
        ('service', 'available', 'out', 'promised'),
    )
    entries = tabulate.tabulate(
        [
            (e.entry_id, e.address, e.confirmed_revision, e.lease_left_s)
            for e in page.entries
        ],
        ('entry', 'address', 'confirmed revision', 'lease left (s)'),
    )
    title = (
        f'revision {page.revision}, in force everywhere up to '
        f'{page.confirmed_revision}'
    )
    return '\n\n'.join((title, services, entries, vm_table(page.vms)))


def vm_table(lines: tuple[pages.VmLine, ...]) -> str:
    """Format a list of VMs."""
    rows = [
        (
            line.vm,
            line.pool,
            line.phase,
            line.upstream,
            f'{line.data_centre}/{line.rack}',
            line.ticket_number,
            line.wave or EMPTY_CELL,
            line.waiting or EMPTY_CELL,
        )
        for line in lines
    ]
    head = (
        'VM',
        'pool',
        'phase',
        'upstream',
        'place',
        'ticket',
        'wave',
        'waits for',
    )
    return tabulate.tabulate(rows, head)


def members_table(page: pages.MembersPage) -> str:
    """Format the control replicas."""
    rows = [
        (
            member.replica_id,
            member.address,
            'leader' if member.replica_id == page.leader_id else 'follower',
            'yes' if member.is_voter else 'learns',
            'yes' if member.is_in_step else 'no',
            member.match_index,
            member.answered_ago_s,
        )
        for member in page.members
    ]
    head = (
        'replica',
        'address',
        'role',
        'votes',
        'in step',
        'match index',
        'answered ago (s)',
    )
    table = tabulate.tabulate(rows, head)
    if page.waiting:
        table += f'\n\nthe change to {", ".join(page.wanted)} waits: '
        table += page.waiting
    return table


def wave_table(page: pages.WavePage) -> str:
    """Format a wave's progress."""
    rows = [
        ('wave', page.wave),
        ('ticket', page.ticket_number),
        ('intent', page.intent),
        ('accepted', format_time(page.started_at_ms)),
        ('finished', format_time(page.finished_at_ms)),
        ('stopped', page.stopped_reason or EMPTY_CELL),
        ('done', f'{len(page.done)}: {", ".join(page.done) or EMPTY_CELL}'),
        ('running', len(page.running)),
        ('failed', ', '.join(page.failed) or EMPTY_CELL),
        ('waiting', len(page.waiting)),
    ]
    head = tabulate.tabulate(rows, tablefmt='plain', disable_numparse=True)
    vms = page.running + page.waiting
    if not vms:
        return head
    return f'{head}\n\n{vm_table(vms)}'


def account_table(page: pages.AccountPage) -> str:
    """Format a VM's event history."""
    rows = [
        (
            format_time(event.at_ms),
            event.revision,
            event.ticket_number,
            event.text,
        )
        for event in page.events
    ]
    return tabulate.tabulate(rows, ('at', 'revision', 'ticket', 'event'))


def check_table(page: pages.CheckPage) -> str:
    """Format the result of a ticket check."""
    verdict = 'would be accepted'
    if page.is_resend:
        verdict = 'is accepted already, with the same content'
    return f'ticket {page.number} {verdict}; touches {", ".join(page.touched)}'
