"""Where the platform writes a process's settings file."""

import os
import pathlib

PATH_VARIABLE = 'GREENGAGERING_CONFIG'


def settings_path() -> pathlib.Path:
    """Return the path of the settings file that the platform wrote."""
    return pathlib.Path(os.environ[PATH_VARIABLE])
