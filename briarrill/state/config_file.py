"""briarrill.state.config_file: the last version, kept in a data folder."""

import os
import pathlib

import attrs

__all__ = ('ConfigFile',)

FILE_NAME = 'configuration.json'


@attrs.frozen
class ConfigFile:
    """Keeps a stored record over a restart.

    :param folder: data folder; made when it is missing.
    """

    folder: pathlib.Path

    def load(self) -> bytes:
        """Return the record, empty when there is none."""
        try:
            return (self.folder / FILE_NAME).read_bytes()
        except OSError:
            return b''

    def save(self, raw: bytes) -> None:
        """Replace the record; a crash leaves the old or the new one."""
        self.folder.mkdir(parents=True, exist_ok=True)
        fresh = self.folder / f'{FILE_NAME}.new'
        with open(fresh, 'wb') as stream:
            stream.write(raw)
            stream.flush()
            os.fsync(stream.fileno())
        fresh.replace(self.folder / FILE_NAME)
