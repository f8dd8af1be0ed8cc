"""briarrill.log_output: log lines on standard output that never block.

A reader that has stopped, or a process that says too much, costs lines and
no time: what is left out is counted and told with the next line.
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

# lines a second on average, and at once
LINES_PER_S = 45.0
MAX_BURST = 200.0


def _encode(message: dict[str, Any]) -> bytes:
    return b'%s\n' % msgspec.json.encode(message, enc_hook=repr)


@attrs.define
class LineOutput:
    """Writes messages to a descriptor that does not block.

    :param write: writes bytes and raises ``BlockingIOError`` when full.
    """

    write: Callable[[bytes], int]
    clock: Callable[[], float] = time.monotonic
    _tokens: float = MAX_BURST
    _refilled_at: float = 0
    _dropped: int = 0
    _rest: bytes = b''

    def __call__(self, message: dict[str, Any]) -> None:
        """Write a message, or count that it was left out."""
        if not self._take_token():
            self._drop()
            return
        if self._dropped:
            message = {**message, 'lines_left_out': self._dropped}
        self._put(_encode(message))

    def _take_token(self) -> bool:
        now = self.clock()
        earned = (now - self._refilled_at) * LINES_PER_S
        self._tokens = min(MAX_BURST, self._tokens + earned)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _put(self, line: bytes) -> None:
        """Write what is left of the line before, then this one."""
        waiting = self._rest + line
        try:
            written = self.write(waiting)
        except BlockingIOError:
            self._drop()
            return
        if written < len(self._rest):
            # the line before is still not out
            self._rest = self._rest[written:]
            self._drop()
            return
        self._rest = waiting[written:]
        self._dropped = 0

    def _drop(self) -> None:
        self._dropped += 1
        LOG_LINES_DROPPED.inc()


@contextlib.contextmanager
def log_to_stdout(process: str) -> Iterator[None]:
    """Write eliot messages to standard output until exit."""
    descriptor = sys.stdout.fileno()
    output = LineOutput(lambda line: os.write(descriptor, line))
    add_destinations(output)
    add_global_fields(process=process)
    log_message('process:started')
    with _non_blocking(descriptor):
        try:
            yield
        finally:
            log_message('process:stopped')
            remove_destination(output)


@contextlib.contextmanager
def _non_blocking(descriptor: int) -> Iterator[None]:
    was_blocking = os.get_blocking(descriptor)
    os.set_blocking(descriptor, False)
    try:
        yield
    finally:
        os.set_blocking(descriptor, was_blocking)
