"""briarrill.state.checkpoint_file: the newest of two copies on a disk.

Copies are written in turn, so that one is whole whatever happens to the
other: a process may be killed and a host may lose power at any time.
"""

import os
from pathlib import Path

import attrs
import xxhash
from eliot import log_message

__all__ = ('CheckpointFile',)

_DIGEST_BYTES = 8
_SEQUENCE_BYTES = 8


@attrs.define
class CheckpointFile:
    """Keeps one body of bytes.

    :param directory: on the local disk; made if it is missing.
    """

    directory: Path
    _sequence: int = attrs.field(default=0, init=False)

    def load(self) -> bytes | None:
        """Return the newest body that is whole, if there is one."""
        newest: bytes | None = None
        for number in (0, 1):
            found = self._read(self._path(number))
            if found is not None and found[0] > self._sequence:
                self._sequence, newest = found
        return newest

    def save(self, body: bytes) -> None:
        """Write a body so that it outlives a loss of power.

        :raises OSError: the disk does not take it; the last body stays.
        """
        sequence = self._sequence + 1
        self.directory.mkdir(parents=True, exist_ok=True)
        numbered = sequence.to_bytes(_SEQUENCE_BYTES, 'big') + body
        with self._path(sequence % 2).open('wb') as stream:
            stream.write(xxhash.xxh64_digest(numbered) + numbered)
            stream.flush()
            os.fsync(stream.fileno())
        self._sequence = sequence

    def _path(self, number: int) -> Path:
        return self.directory / f'checkpoint-{number}'

    def _read(self, path: Path) -> tuple[int, bytes] | None:
        try:
            raw = path.read_bytes()
        except FileNotFoundError:
            return None
        except OSError as exc:
            log_message('checkpoint:unreadable', path=path, reason=repr(exc))
            return None
        digest, numbered = raw[:_DIGEST_BYTES], raw[_DIGEST_BYTES:]
        if xxhash.xxh64_digest(numbered) != digest:
            log_message('checkpoint:torn', path=str(path), size=len(raw))
            return None
        sequence = int.from_bytes(numbered[:_SEQUENCE_BYTES], 'big')
        return sequence, numbered[_SEQUENCE_BYTES:]
