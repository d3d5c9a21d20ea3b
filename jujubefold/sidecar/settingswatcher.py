"""SettingsWatcher: reloads the settings file when it changes."""

import asyncio
import pathlib

from jujubefold import backgroundtasks
from jujubefold.sidecar import options as settings

SETTINGS_POLL_S = 1.0


class SettingsWatcher:
    """Reloads the settings file when its time of change or size differs.

    Args:
        path: Path of the settings file.
    """

    def __init__(self, path):
        self._path = pathlib.Path(path)
        self._file_state = self._read_file_state()

    def reload(self, apply):
        """Read the file and pass the result to a function.

        Args:
            apply: As `Daemon.reload`.
        """
        self._file_state = self._read_file_state()
        apply(settings.load(self._path))

    async def run(self, apply):
        """Check the file periodically until cancelled.

        Args:
            apply: As `Daemon.reload`; called after each change.
        """
        while True:
            if self._read_file_state() != self._file_state:
                backgroundtasks.run_guarded(self.reload, apply)
            await asyncio.sleep(SETTINGS_POLL_S)

    def _read_file_state(self):
        try:
            status = self._path.stat()
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size
