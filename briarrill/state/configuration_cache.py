"""briarrill.state.configuration_cache: local copy of the configuration."""

import os
import pathlib

import attrs

__all__ = ('ConfigurationCache',)

FILE_NAME = 'configuration.json'


@attrs.frozen
class ConfigurationCache:
    """Stores the latest configuration record for the next start.

    :param folder: data folder; save() creates it.
    """

    folder: pathlib.Path

    def load(self) -> bytes:
        """Return the record, empty if it is missing or unreadable."""
        try:
            return (self.folder / FILE_NAME).read_bytes()
        except OSError:
            return b''

    def save(self, raw: bytes) -> None:
        """Replace the record atomically.

        :raises OSError: the write failed; the old record is kept.
        """
        self.folder.mkdir(parents=True, exist_ok=True)
        new_path = self.folder / f'{FILE_NAME}.new'
        with open(new_path, 'wb') as stream:
            stream.write(raw)
            stream.flush()
            os.fsync(stream.fileno())
        new_path.replace(self.folder / FILE_NAME)
        _sync_folder(self.folder)


def _sync_folder(folder: pathlib.Path) -> None:
    """Make renames in a folder survive a power loss."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
