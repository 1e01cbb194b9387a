"""greengagering-ticket: the operator's program."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import os
import pathlib
import time
from typing import Any
from typing import TypeVar

from greengagering.programs import _returns
from greengagering.programs import _run
from greengagering.programs import _tables
from greengagering.programs import _trace
from greengagering import protocol
from greengagering.protocol import errors as protocol_errors
from greengagering.protocol import pages
from greengagering.transport import errors as transport_errors
from greengagering.transport import operator

Page = TypeVar('Page')

DEFAULT_CONTROL = '127.0.0.1:7201'
ENVIRONMENT_NAME = 'GREENGAGERING_CONTROL'
POLL_S = 0.2
FOLLOW_S = 0.5


class TicketCommands:
    """Change the fleet by numbered tickets, and show the results.

    Every command takes --control=HOST:PORT,HOST:PORT (or the environment
    variable GREENGAGERING_CONTROL) and finds the leader among them, and
    --json for scripts. Exit codes: 0 success, 1 failure, 2 invalid input.
    """

    def __init__(
        self,
        control: str | tuple[str, ...] = '',
        timeout_s: float = 10.0,
        json: bool = False,
    ) -> None:
        addresses = control or os.environ.get(ENVIRONMENT_NAME, '')
        if not addresses:
            addresses = DEFAULT_CONTROL
        if isinstance(addresses, str):
            addresses = tuple(addresses.split(','))
        self._client = operator.OperatorClient(tuple(addresses), timeout_s)
        self._is_json = json
        self._timeout_s = timeout_s

    def check(self, file: str) -> None:
        """Check whether a ticket would be accepted now; change nothing.

        Args:
            file: path of the ticket's JSON.
        """
        body = _read_ticket(file)
        self._print(
            self._client.post('/v1/tickets/check', body, pages.CheckPage),
            _tables.check_table,
        )

    def submit(self, file: str) -> None:
        """Submit a ticket; it is safe to do so again after a lost answer.

        Args:
            file: path of the ticket's JSON.
        """
        body = _read_ticket(file)
        self._print(
            self._client.post('/v1/tickets', body, pages.TicketPage),
            _tables.ticket_table,
        )

    def show(self, number: int) -> None:
        """Show one accepted ticket and whether it is in force.

        Args:
            number: number of the ticket.
        """
        self._print(self._ticket(number), _tables.ticket_table)

    def wait(self, number: int) -> None:
        """Wait until a ticket is in force on every entry.

        Args:
            number: number of the ticket.
        """
        self._print(self._wait(number), _tables.ticket_table)

    def history(self) -> None:
        """List every accepted ticket."""
        self._print(
            self._client.get('/v1/tickets', pages.HistoryPage),
            _tables.history_table,
        )

    def fleet(self) -> None:
        """Show services, entries and VMs."""
        self._print(
            self._client.get('/v1/fleet', pages.FleetPage),
            _tables.fleet_table,
        )

    def members(self) -> None:
        """Show the control replicas and any change of voters in progress."""
        self._print(
            self._client.get('/v1/control', pages.MembersPage),
            _tables.members_table,
        )

    def wave(self, name: str, follow: bool = False) -> None:
        """Show a maintenance wave's progress.

        Args:
            name: name of the wave.
            follow: print it again until the wave ends.
        """
        path = f'/v1/waves/{operator.quote(str(name))}'
        while True:
            page = asyncio.run(self._client.get(path, pages.WavePage))
            self._show(page, _tables.wave_table)
            if not follow or page.finished_at_ms or page.stopped_reason:
                return
            time.sleep(FOLLOW_S)

    def explain(self, vm: str) -> None:
        """Show the history of a VM, and which ticket allowed each step.

        Args:
            vm: name of the VM.
        """
        path = f'/v1/vms/{operator.quote(str(vm))}/account'
        self._print(
            self._client.get(path, pages.AccountPage), _tables.account_table
        )

    def trace(self, name: str, *files: str) -> None:
        """Merge logs into the event history of a job, task, worker or machine.

        Args:
            name: id of the job, task, worker or machine.
            files: log files of the processes; no request is sent.
        """
        try:
            lines = _trace.trace_files(str(name), files)
        except OSError as error:
            raise _unreadable(str(error.filename), error) from error
        if not lines:
            message = f'no event in {len(files)} files'
            raise _refused('name', str(name), message)
        for line in lines:
            print(line.format())

    def returns(self, *files: str) -> None:
        """Show from logs how each leader came to serve, step by step.

        Args:
            files: log files of the processes; no request is sent.
        """
        try:
            found = _returns.find_returns(_trace.read_files(files))
        except OSError as error:
            raise _unreadable(str(error.filename), error) from error
        if not found:
            message = f'no leader in {len(files)} files'
            raise _refused('files', ' '.join(files), message)
        for item in found:
            print('\n'.join(item.format()))

    def dump(self, address: str) -> None:
        """Print the state of any control or entry process as JSON.

        Args:
            address: HTTP address of the process, as host:port.
        """
        client = operator.OperatorClient((address,), self._timeout_s)
        page = asyncio.run(client.get('/v1/dump', dict[str, Any]))
        print(pages.format_page(page))

    async def _ticket(self, number: int) -> pages.TicketPage:
        if not isinstance(number, int):
            raise _refused(
                'number', protocol.shorten(number), 'must be an integer'
            )
        path = f'/v1/tickets/{number}'
        return await self._client.get(path, pages.TicketPage)

    async def _wait(self, number: int) -> pages.TicketPage:
        ends_s = time.monotonic() + self._timeout_s
        while True:
            page = await self._ticket(number)
            if page.in_force_at_ms:
                return page
            if time.monotonic() > ends_s:
                raise transport_errors.ControlUnavailableError(
                    f'ticket {number} is accepted, but not in force '
                    f'after {self._timeout_s:g} s'
                )
            await asyncio.sleep(POLL_S)

    def _print(
        self,
        request: Coroutine[Any, Any, Page],
        table: Callable[[Page], str],
    ) -> None:
        self._show(asyncio.run(request), table)

    def _show(self, page: Page, table: Callable[[Page], str]) -> None:
        if self._is_json:
            print(pages.format_page(page))
        else:
            print(table(page))


def _read_ticket(file: str) -> bytes:
    """Read a ticket file and validate it before it is sent."""
    try:
        body = pathlib.Path(file).read_bytes()
    except OSError as error:
        raise _unreadable(file, error) from error
    protocol.parse_ticket(body, f'ticket file {file}')
    return body


def _refused(
    field: str, value: str, message: str
) -> protocol_errors.InvalidInputError:
    """Create the error for an invalid argument."""
    error = protocol_errors.FieldError(field, value, message)
    return protocol_errors.InvalidInputError('command line', [error])


def _unreadable(
    file: str, error: OSError
) -> protocol_errors.InvalidInputError:
    return _refused('file', file, error.strerror or str(error))


def main() -> None:
    """Run the program."""
    _run.dispatch(TicketCommands, 'greengagering-ticket')
