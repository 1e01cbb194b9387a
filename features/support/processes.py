"""Real processes of the system under test."""

import pathlib
import signal
import subprocess
import sys

SCRIPTS = pathlib.Path(sys.executable).parent
STOP_TIMEOUT_S = 60.0


class SystemProcess:
    """One running program, its log and its exit code."""

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
    def pid(self) -> int:
        """Process id."""
        return self._process.pid

    def terminate(self) -> int:
        """Ask for a graceful shutdown and return the exit code."""
        self.signal(signal.SIGTERM)
        return self.wait()

    def kill(self) -> None:
        """End the process without notice."""
        self._process.kill()
        self.wait()

    def signal(self, number: int) -> None:
        """Send a signal, unless the process has ended."""
        if self.is_running:
            self._process.send_signal(number)

    def wait(self) -> int:
        """Wait for the end and return the exit code."""
        code = self._process.wait(STOP_TIMEOUT_S)
        self._file.close()
        return code

    def log_text(self) -> str:
        """Return what the process has logged."""
        return self.log.read_text(errors='replace')


def run_program(
    program: str, *arguments: str, timeout_s: float = 60.0
) -> subprocess.CompletedProcess[str]:
    """Run a program to its end."""
    return subprocess.run(
        [str(SCRIPTS / program), *arguments],
        capture_output=True,
        text=True,
        timeout=timeout_s,
        stdin=subprocess.DEVNULL,
    )


def handles_hangup(pid: int) -> bool:
    """Tell whether a process catches or ignores SIGHUP."""
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    masks = [
        int(line.split()[1], 16)
        for line in status.splitlines()
        if line.startswith(('SigIgn:', 'SigCgt:'))
    ]
    return any(mask & 1 << (signal.SIGHUP - 1) for mask in masks)
