"""briarrill.log_output: non-blocking, rate-limited log on standard output.

Lines over the rate limit, or that the reader of the pipe does not accept, are
dropped. Their number is counted and logged with the next written line.
"""

import contextlib
import os
import sys
import time
from collections.abc import Callable, Iterator
from typing import Any

import attrs
import msgspec
from eliot import (
    add_destinations,
    add_global_fields,
    log_message,
    remove_destination,
)

from .metrics import LOG_LINES_DROPPED

__all__ = ('LineOutput', 'log_to_stdout')

# token bucket of the rate limit: refill rate and capacity
MAX_LINES_PER_S = 45.0
MAX_BURST_LINES = 200.0


def _encode_line(message: dict[str, Any]) -> bytes:
    return b'%s\n' % msgspec.json.encode(message, enc_hook=repr)


@attrs.define
class LineOutput:
    """Eliot destination that drops lines instead of blocking.

    :param write: writes bytes and returns how many were accepted; raises
        ``BlockingIOError`` if none can be.
    """

    write: Callable[[bytes], int]
    clock: Callable[[], float] = time.monotonic
    _tokens: float = MAX_BURST_LINES
    _refilled_at: float = 0
    _dropped_lines: int = 0
    _unwritten: bytes = b''

    def __call__(self, message: dict[str, Any]) -> None:
        """Write a message, or count it as dropped."""
        if not self._acquire_token():
            self._count_dropped()
            return
        if self._dropped_lines:
            message = {**message, 'lines_left_out': self._dropped_lines}
        self._write_line(_encode_line(message))

    def _acquire_token(self) -> bool:
        """Return whether the rate limit admits a line."""
        now = self.clock()
        refill = (now - self._refilled_at) * MAX_LINES_PER_S
        self._tokens = min(MAX_BURST_LINES, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _write_line(self, line: bytes) -> None:
        """Write the rest of the previous line, then this one."""
        pending = self._unwritten + line
        try:
            written = self.write(pending)
        except BlockingIOError:
            self._count_dropped()
            return
        if written < len(self._unwritten):
            # the previous line is still incomplete
            self._unwritten = self._unwritten[written:]
            self._count_dropped()
            return
        self._unwritten = pending[written:]
        self._dropped_lines = 0

    def _count_dropped(self) -> None:
        self._dropped_lines += 1
        LOG_LINES_DROPPED.inc()


@contextlib.contextmanager
def log_to_stdout(process: str) -> Iterator[None]:
    """Write eliot messages to standard output until exit.

    Standard output is non-blocking inside the context.

    :param process: name added to each message.
    """
    descriptor = sys.stdout.fileno()
    output = LineOutput(lambda line: os.write(descriptor, line))
    add_destinations(output)
    add_global_fields(process=process)
    log_message('process:started')
    with _set_non_blocking(descriptor):
        try:
            yield
        finally:
            log_message('process:stopped')
            remove_destination(output)


@contextlib.contextmanager
def _set_non_blocking(descriptor: int) -> Iterator[None]:
    """Make a descriptor non-blocking until exit."""
    was_blocking = os.get_blocking(descriptor)
    os.set_blocking(descriptor, False)
    try:
        yield
    finally:
        os.set_blocking(descriptor, was_blocking)
