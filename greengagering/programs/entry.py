"""greengagering-entry: one entry for callers and upstreams."""

from greengagering import logs
from greengagering.programs import _run
from greengagering.programs import _services
from greengagering import protocol


class EntryCommands:
    """An entry: receives announcements, and queues and routes calls."""

    def run(self, settings: str) -> None:
        """Run this entry until SIGTERM.

        Args:
            settings: path of the JSON settings file; see docs/OPERATIONS.md.
        """
        loaded = protocol.load_settings(protocol.EntrySettings, settings)
        logs.configure_logs(loaded.log_level)
        _run.run_services(_services.EntryService(loaded))

    def check(self, settings: str) -> None:
        """Check a settings file and change nothing.

        Args:
            settings: path of the JSON settings file.
        """
        protocol.load_settings(protocol.EntrySettings, settings)
        print(f'settings file {settings} is valid')


def main() -> None:
    """Run the program."""
    _run.dispatch(EntryCommands, 'greengagering-entry')
