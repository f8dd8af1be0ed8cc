"""briarrill.state.checkpoint_file: crash-safe file of two alternating copies.

The copies are written in turn, so that one stays intact if the process is
killed or the host loses power during a write of the other. A copy consists of
its digest, its sequence number and the body.
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
    """Stores the latest body of bytes on the local disk.

    :param directory: directory of the copies; save() creates it.
    """

    directory: Path
    _sequence: int = attrs.field(default=0, init=False)

    def load(self) -> bytes | None:
        """Return the newest intact body, None if there is none."""
        newest: bytes | None = None
        for copy_number in (0, 1):
            intact = self._read_copy(self._path(copy_number))
            if intact is not None and intact[0] > self._sequence:
                self._sequence, newest = intact
        return newest

    def save(self, body: bytes) -> None:
        """Write and sync a body over the older copy.

        :raises OSError: the write failed; the previous body is kept.
        """
        sequence = self._sequence + 1
        self.directory.mkdir(parents=True, exist_ok=True)
        sequenced_body = sequence.to_bytes(_SEQUENCE_BYTES, 'big') + body
        with self._path(sequence % 2).open('wb') as stream:
            stream.write(xxhash.xxh64_digest(sequenced_body) + sequenced_body)
            stream.flush()
            os.fsync(stream.fileno())
        self._sequence = sequence

    def _path(self, copy_number: int) -> Path:
        return self.directory / f'checkpoint-{copy_number}'

    def _read_copy(self, path: Path) -> tuple[int, bytes] | None:
        """Return a copy's sequence and body, None if missing or damaged."""
        try:
            raw = path.read_bytes()
        except FileNotFoundError:
            return None
        except OSError as exc:
            log_message(
                'checkpoint:unreadable', path=str(path), reason=repr(exc)
            )
            return None
        digest, sequenced_body = raw[:_DIGEST_BYTES], raw[_DIGEST_BYTES:]
        if xxhash.xxh64_digest(sequenced_body) != digest:
            log_message('checkpoint:torn', path=str(path), size=len(raw))
            return None
        sequence = int.from_bytes(sequenced_body[:_SEQUENCE_BYTES], 'big')
        return sequence, sequenced_body[_SEQUENCE_BYTES:]
