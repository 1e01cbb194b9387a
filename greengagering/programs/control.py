"""greengagering-control: one control replica."""

import pathlib

from greengagering import logs
from greengagering.programs import _run
from greengagering.programs import _services
from greengagering import protocol
from greengagering import state


class ControlCommands:
    """A control replica: ticket history, fleet state, waves, leases."""

    def run(self, settings: str) -> None:
        """Run this replica until SIGTERM.

        Args:
            settings: path of the JSON settings file; see docs/OPERATIONS.md.
        """
        loaded = protocol.load_settings(protocol.ControlSettings, settings)
        logs.configure_logs(loaded.log_level)
        _run.run_services(_services.ControlService(loaded))

    def format(self, settings: str) -> None:
        """Prepare the data folder of a new replica, once per replica_id.

        A replica that lost its disk must be given a new replica_id: the
        record of its votes is lost, and under the old id it could vote twice
        in a term.

        Args:
            settings: path of the JSON settings file.
        """
        loaded = protocol.load_settings(protocol.ControlSettings, settings)
        if loaded.replica_id is None:
            print('nothing to format: with seeds, the first run does it')
            return
        identity = state.format_folder(
            pathlib.Path(loaded.data_folder),
            loaded.cluster_id,
            loaded.replica_id,
        )
        print(
            f'formatted {loaded.data_folder} for replica '
            f'{identity.replica_id}, incarnation {identity.incarnation}'
        )

    def check(self, settings: str) -> None:
        """Check a settings file and change nothing.

        Args:
            settings: path of the JSON settings file.
        """
        protocol.load_settings(protocol.ControlSettings, settings)
        print(f'settings file {settings} is valid')


def main() -> None:
    """Run the program."""
    _run.dispatch(ControlCommands, 'greengagering-control')
