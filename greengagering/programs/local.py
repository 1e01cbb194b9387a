"""greengagering-local: the whole system in one process, to try it out."""

import json
import pathlib

from greengagering import logs
from greengagering.programs import _run
from greengagering.programs import _services
from greengagering.programs import _standin_services
from greengagering import protocol
from greengagering import standins
from greengagering import state

HOST = '127.0.0.1'
CONTROL_LINK_PORT = 7100
ENTRY_LINK_PORT = 7101
CONTROL_HTTP_PORT = 7201
ENTRY_HTTP_PORT = 7301
PLATFORM_PORT = 7401
FIRST_UPSTREAM_PORT = 7501
UPSTREAM_COUNT = 3
CLUSTER_ID = 'local'
REPLICA_ID = 'control-1'
TICKET_NAME = 'ticket-1.json'

INTRODUCTION = """\
The system is starting. In another terminal, from this folder:

1. Submit a ticket with a pool, its budget and a maintenance wave, and wait
   until it is in force:

   {program} submit {ticket}
   {program} wait 1

2. Call the service; any upstream of the pool answers:

   curl -i -H 'Greengagering-Class: urgent' -H 'Greengagering-Deadline-Ms: \
2000' {host}:{entry_port}/call/dispatch/hello

3. Watch the wave drain and reboot one VM after the other, and show the
   history of a VM and the fleet:

   {program} wave first-wave --follow
   {program} explain vm-1
   {program} fleet

Stop with Ctrl-C.
"""


class LocalCommands:
    """Control, entry and stand-ins in one process, to try the system out."""

    def run(
        self, folder: str = 'local-data', log_level: str = 'warning'
    ) -> None:
        """Run the system until Ctrl-C, and print example commands.

        Args:
            folder: folder for the data, kept between runs.
            log_level: debug, info, warning or error.
        """
        logs.configure_logs(log_level)
        path = pathlib.Path(folder)
        control = _control_settings(path)
        if not pathlib.Path(control.data_folder).exists():
            state.format_folder(
                pathlib.Path(control.data_folder), CLUSTER_ID, REPLICA_ID
            )
        ticket = _write_ticket(path)
        services = [
            _standin_services.PlatformService(f'{HOST}:{PLATFORM_PORT}'),
            _services.ControlService(control),
            _services.EntryService(_entry_settings()),
        ]
        for number in range(UPSTREAM_COUNT):
            services.append(
                _standin_services.UpstreamService(_upstream_options(number))
            )
        print(
            INTRODUCTION.format(
                program='.venv/bin/greengagering-ticket',
                ticket=ticket,
                host=HOST,
                entry_port=ENTRY_HTTP_PORT,
            ),
            flush=True,
        )
        _run.run_services(*services)


def _control_settings(folder: pathlib.Path) -> protocol.ControlSettings:
    return protocol.ControlSettings(
        cluster_id=CLUSTER_ID,
        replica_id=REPLICA_ID,
        data_centre='dc-1',
        data_folder=str(folder / REPLICA_ID),
        link_address=f'{HOST}:{CONTROL_LINK_PORT}',
        http_address=f'{HOST}:{CONTROL_HTTP_PORT}',
        members={REPLICA_ID: f'{HOST}:{CONTROL_LINK_PORT}'},
        platform_url=f'http://{HOST}:{PLATFORM_PORT}',
    )


def _entry_settings() -> protocol.EntrySettings:
    return protocol.EntrySettings(
        cluster_id=CLUSTER_ID,
        entry_id='entry-1',
        data_centre='dc-1',
        link_address=f'{HOST}:{ENTRY_LINK_PORT}',
        http_address=f'{HOST}:{ENTRY_HTTP_PORT}',
        controls={REPLICA_ID: f'{HOST}:{CONTROL_LINK_PORT}'},
    )


def _upstream_options(number: int) -> standins.UpstreamOptions:
    return standins.UpstreamOptions(
        vm=f'vm-{number + 1}',
        pool='dispatch-pool',
        address=f'{HOST}:{FIRST_UPSTREAM_PORT + number}',
        entries=(f'{HOST}:{ENTRY_HTTP_PORT}',),
        platform_url=f'http://{HOST}:{PLATFORM_PORT}',
        rack=f'rack-{number + 1}',
    )


def _write_ticket(folder: pathlib.Path) -> pathlib.Path:
    ticket = {
        'number': 1,
        'author': 'first-operator',
        'reason': 'first try of the system',
        'pools': [
            {
                'name': 'dispatch-pool',
                'service': 'dispatch',
                'vms': [f'vm-{n + 1}' for n in range(UPSTREAM_COUNT)],
            }
        ],
        'budgets': [{'service': 'dispatch', 'min_available_vms': 2}],
        'waves': [{'name': 'first-wave', 'pools': ['dispatch-pool']}],
    }
    path = folder / TICKET_NAME
    path.write_text(json.dumps(ticket, indent=2) + '\n')
    return path


def main() -> None:
    """Run the program."""
    _run.dispatch(LocalCommands, 'greengagering-local')
