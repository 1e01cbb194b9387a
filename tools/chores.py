"""Development tasks: lint, formatting, generated code, locked versions.

Run "python tools/chores.py --help" in the project's environment.
"""

import pathlib
import subprocess
import sys

import fire

ROOT = pathlib.Path(__file__).resolve().parent.parent
PROTO = 'greengagering/protocol/link.proto'
SOURCES = ('greengagering', 'features', 'benchmarks', 'tools')
LOCK_FILES = {'requirements.txt': (), 'requirements-dev.txt': ('dev',)}


class Chores:
    """Development tasks of the repository."""

    def lint(self) -> None:
        """Check format, style, layers and types; exit 1 if a check fails."""
        commands = (
            ('ruff', 'format', '--check', '.'),
            ('ruff', 'check', '.'),
            ('flake8', *SOURCES),
            ('lint-imports', '--no-logo'),
            ('mypy', *SOURCES),
        )
        failed = [' '.join(c) for c in commands if not _succeeds(c)]
        for command in failed:
            print(f'failed: {command}')
        if failed:
            sys.exit(1)

    def format(self) -> None:
        """Sort the imports and format every source file."""
        _run('ruff', 'check', '--fix-only', '--quiet', '.')
        for path in _source_files():
            _sort_file(path)
        _run('ruff', 'format', '.')

    def proto(self) -> None:
        """Regenerate the code of the link protocol."""
        _run(
            sys.executable,
            '-m',
            'grpc_tools.protoc',
            '-I.',
            '--python_out=.',
            '--pyi_out=.',
            '--grpclib_python_out=.',
            PROTO,
        )

    def lock(self) -> None:
        """Update the lock files to the newest version of every dependency."""
        for name, extras in LOCK_FILES.items():
            options = [f'--extra={extra}' for extra in extras]
            _run(
                'pip-compile',
                '--quiet',
                '--strip-extras',
                '--no-emit-index-url',
                '--no-emit-find-links',
                '--no-emit-trusted-host',
                '--no-header',
                '--no-annotate',
                f'--output-file={name}',
                *options,
                'pyproject.toml',
            )


def _succeeds(command: tuple[str, ...]) -> bool:
    return subprocess.run(command, cwd=ROOT).returncode == 0


def _run(*command: str) -> None:
    subprocess.run(command, cwd=ROOT, check=True)


def _source_files() -> list[pathlib.Path]:
    files = [path for name in SOURCES for path in (ROOT / name).rglob('*.py')]
    return [
        path for path in files if not path.stem.endswith(('_pb2', '_grpc'))
    ]


def _sort_file(path: pathlib.Path) -> None:
    """Sort each block of imports, as the check H306 of hacking requires.

    hacking is a flake8 plugin.
    """
    lines = path.read_text().splitlines(keepends=True)
    start = 0
    while start < len(lines):
        end = start
        while end < len(lines) and _is_import(lines[end]):
            end += 1
        if end > start:
            lines[start:end] = sorted(lines[start:end], key=_sort_key)
        start = end + 1
    path.write_text(''.join(lines))


def _is_import(line: str) -> bool:
    return line.startswith(('import ', 'from ')) and '(' not in line


def _sort_key(line: str) -> str:
    words = line.split()
    if words[0] == 'from':
        return f'{words[1]}.{words[3]}'.lower()
    return words[1].lower()


if __name__ == '__main__':
    fire.Fire(Chores)
