"""Runs services until a signal asks for a graceful shutdown."""

import asyncio
from collections.abc import Callable
import signal
import sys
from typing import NoReturn

import aiomisc
import fire

from greengagering.coordination import errors as coordination_errors
from greengagering import logs
from greengagering.protocol import errors as protocol_errors
from greengagering.state import errors as state_errors
from greengagering.transport import errors as transport_errors

EXIT_FAILURE = 1
EXIT_BAD_INPUT = 2
SHUTDOWN_TIMEOUT_S = 120.0

_FAILURES = (
    coordination_errors.CoordinationError,
    state_errors.StateError,
    transport_errors.TransportError,
)


def run_services(
    *services: aiomisc.Service, reload: Callable[[], None] | None = None
) -> None:
    """Start services, wait for SIGTERM or SIGINT, and stop them.

    Args:
        services: what to run.
        reload: called on SIGHUP; without it, SIGHUP ends the process.
    """
    with aiomisc.entrypoint(
        *services,
        log_config=False,
        catch_signals=(),
        pool_size=1,
        shutdown_timeout=SHUTDOWN_TIMEOUT_S,
    ) as loop:
        loop.run_until_complete(_wait_for_signal(reload))


def dispatch(commands: type[object], name: str) -> None:
    """Parse the arguments, run a command, and turn errors into exit codes."""
    try:
        if _is_general_help(sys.argv[1:]):
            # For a class, fire's help describes the constructor; for an
            # object, it lists the commands.
            fire.Fire(commands(), command=['--help'], name=name)
        else:
            fire.Fire(commands, name=name)
    except protocol_errors.InvalidInputError as error:
        _fail(EXIT_BAD_INPUT, [str(error.source), *map(str, error.fields)])
    except _FAILURES as error:
        _fail(EXIT_FAILURE, [str(error)])


def _is_general_help(arguments: list[str]) -> bool:
    return not arguments or arguments[0] in ('--help', '-h', 'help')


def _fail(code: int, lines: list[str]) -> NoReturn:
    for line in lines:
        print(line, file=sys.stderr)
    sys.exit(code)


async def _wait_for_signal(reload: Callable[[], None] | None) -> None:
    loop = asyncio.get_running_loop()
    if reload is not None:
        loop.add_signal_handler(signal.SIGHUP, reload)
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()
    logs.info('stop_requested')
