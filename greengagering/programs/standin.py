"""greengagering-standin: stand-ins for upstreams and the platform."""

from greengagering import logs
from greengagering.programs import _run
from greengagering.programs import _standin_services
from greengagering import standins


class StandinCommands:
    """Stand-ins for external systems, for tests and to try the system out."""

    def platform(self, address: str, log_level: str = 'info') -> None:
        """Run a platform that reboots stand-in upstreams.

        Args:
            address: address to listen on, as host:port.
            log_level: debug, info, warning or error.
        """
        logs.configure_logs(log_level)
        _run.run_services(_standin_services.PlatformService(address))

    def upstream(
        self,
        vm: str,
        pool: str,
        address: str,
        entries: str,
        platform_url: str = '',
        data_centre: str = 'dc-1',
        rack: str = 'rack-1',
        slot_count: int = 8,
        reboot_s: float = 0.5,
        log_level: str = 'info',
    ) -> None:
        """Run an upstream that answers every call.

        Args:
            vm: name of the VM.
            pool: pool in the announcements.
            address: address to listen on, as host:port.
            entries: comma-separated addresses of entries.
            platform_url: base URL of the stand-in platform.
            data_centre: data centre in the announcements.
            rack: rack in the announcements.
            slot_count: most concurrent calls.
            reboot_s: duration of a reboot.
            log_level: debug, info, warning or error.
        """
        logs.configure_logs(log_level)
        options = standins.UpstreamOptions(
            vm=str(vm),
            pool=str(pool),
            address=address,
            entries=_split(entries),
            platform_url=platform_url,
            data_centre=str(data_centre),
            rack=str(rack),
            slot_count=slot_count,
            reboot_s=reboot_s,
        )
        _run.run_services(_standin_services.UpstreamService(options))


def _split(addresses: str | tuple[str, ...]) -> tuple[str, ...]:
    # fire converts an argument with commas to a tuple.
    if isinstance(addresses, str):
        return tuple(addresses.split(','))
    return tuple(addresses)


def main() -> None:
    """Run the program."""
    _run.dispatch(StandinCommands, 'greengagering-standin')
