"""Locks a control replica's data folder before the process's slow imports.

A restarted replica grants no vote until the answers of its former process
bind nobody any more. That time runs from the lock, and so passes during the
imports.
"""

import json
import pathlib

from greengagering import folder_lock
from greengagering.platform import _settings_path


def lock_data_folder() -> None:
    """Lock the data folder that the settings file names, if there is one.

    Without it, the folder is locked when it is opened. So an error is left to
    be found there, where it can be reported.
    """
    try:
        text = _settings_path.settings_path().read_bytes()
        folder = pathlib.Path(json.loads(text)['data_folder'])
        folder_lock.lock_early(folder)
    except (OSError, KeyError, TypeError, ValueError, RecursionError):
        return
