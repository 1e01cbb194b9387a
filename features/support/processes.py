"""Processes of the system under test, and faults in them."""

import pathlib
import resource
import signal
import subprocess
import sys

SCRIPTS = pathlib.Path(sys.executable).parent
STOP_TIMEOUT_S = 60.0
FREE_BYTES = 10
"""Bytes left on a simulated full disk: less than any record needs."""


class SystemProcess:
    """A process of a program, with its log file."""

    def __init__(
        self, program: str, arguments: list[str], log: pathlib.Path
    ) -> None:
        self.name = log.stem
        self.log = log
        self._file = open(log, 'ab')  # noqa: SIM115
        self._process = subprocess.Popen(
            [str(SCRIPTS / program), *arguments],
            stdout=self._file,
            stderr=subprocess.STDOUT,
            stdin=subprocess.DEVNULL,
        )

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process.poll() is None

    @property
    def popen(self) -> 'subprocess.Popen[bytes]':
        """The process itself."""
        return self._process

    @property
    def pid(self) -> int:
        """Process id."""
        return self._process.pid

    def terminate(self) -> int:
        """Stop the process with SIGTERM and return its exit code."""
        self.signal(signal.SIGTERM)
        return self.wait()

    def kill(self) -> None:
        """Kill the process."""
        self._process.kill()
        self.wait()

    def signal(self, number: int) -> None:
        """Send a signal, unless the process has ended."""
        if self.is_running:
            self._process.send_signal(number)

    def wait(self) -> int:
        """Wait until the process ends and return its exit code."""
        code = self._process.wait(STOP_TIMEOUT_S)
        self._file.close()
        return code

    def log_text(self) -> str:
        """Return the log of the process."""
        return self.log.read_text(errors='replace')


def run_program(
    program: str, *arguments: str, timeout_s: float = 60.0
) -> subprocess.CompletedProcess[str]:
    """Run a program and wait until it ends."""
    return subprocess.run(
        [str(SCRIPTS / program), *arguments],
        capture_output=True,
        text=True,
        timeout=timeout_s,
        stdin=subprocess.DEVNULL,
    )


def handles_hangup(pid: int) -> bool:
    """Return whether a process catches or ignores SIGHUP."""
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    masks = [
        int(line.split()[1], 16)
        for line in status.splitlines()
        if line.startswith(('SigIgn:', 'SigCgt:'))
    ]
    return any(mask & 1 << (signal.SIGHUP - 1) for mask in masks)


def newest_segment(folder: pathlib.Path) -> pathlib.Path | None:
    """Return the newest log segment in a replica's data folder, or None."""
    return max(folder.glob('segment-*'), default=None)


def fill_disk(pid: int, folder: pathlib.Path) -> None:
    """Simulate a full disk by limiting the file sizes of a process.

    The newest segment, as any other file, can grow only to a size FREE_BYTES
    above the present size of that segment.
    """
    segment = newest_segment(folder)
    size = segment.stat().st_size if segment is not None else 0
    _limit_files(pid, size + FREE_BYTES)


def free_disk(pid: int) -> None:
    """Remove the limit that fill_disk set."""
    _limit_files(pid, resource.RLIM_INFINITY)


def _limit_files(pid: int, size: int) -> None:
    limits = (size, resource.RLIM_INFINITY)
    resource.prlimit(pid, resource.RLIMIT_FSIZE, limits)
