"""Programs on the platform: python3 -m greengagering.platform ROLE."""

import gc
import os
import signal
import sys

# The platform may send SIGHUP for changed settings while the imports below
# run. The signal's default action would end the process, so it is ignored
# until the settings are read, which is after the imports.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

# The imports allocate much and leave no garbage, so searches for it only delay
# the start. It is turned on again before anything is served.
gc.disable()

# aiohttp reads all of the system's certificates when it is imported, which
# takes a tenth of the time until a process serves. None of them uses TLS.
os.environ.setdefault('SSL_CERT_FILE', os.devnull)
os.environ.setdefault('SSL_CERT_DIR', os.devnull)

from greengagering.platform import _early_lock  # noqa: E402

if sys.argv[1:2] == ['control']:
    _early_lock.lock_data_folder()

from greengagering import logs  # noqa: E402
from greengagering.platform import _services  # noqa: E402
from greengagering.platform import _settings  # noqa: E402
from greengagering.programs import _run  # noqa: E402


class PlatformCommands:
    """Programs that run under the platform's settings file."""

    def control(self) -> None:
        """Run a control replica until SIGTERM."""
        host = _settings.load(_settings.ControlHost)
        logs.configure_logs(host.log_level)
        service = _services.ControlService(
            host.to_settings(), host.metrics_address, host.adviser_address
        )
        _run_service(service)

    def entry(self) -> None:
        """Run an entry until SIGTERM."""
        host = _settings.load(_settings.EntryHost)
        logs.configure_logs(host.log_level)
        service = _services.EntryService(
            host.to_settings(), host.metrics_address
        )
        _run_service(service)


def _run_service(
    service: _services.ControlService | _services.EntryService,
) -> None:
    # Nothing that was imported is ever freed, so it isn't searched either.
    gc.freeze()
    gc.enable()
    _run.run_services(service, reload=service.reload)


if __name__ == '__main__':
    _run.dispatch(PlatformCommands, 'greengagering-platform')
