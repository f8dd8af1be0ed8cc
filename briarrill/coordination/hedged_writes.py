"""briarrill.coordination.hedged_writes: writes through a peer when needed.

Answers a service that does not answer this instance while it serves others:
a caller's job waited for seconds until its entry gave up. A write that is
not confirmed soon is asked of a peer as well. Only writes that create their
keys, or may be made twice, are made so.
"""

import math
from collections.abc import Sequence

import attrs
import msgspec
import trio
from eliot import log_message

from ..errors import (
    BriarrillError,
    PlatformUnavailableError,
    WriteUnknownError,
)
from ..state.keys import JOB_BODIES, JOB_ENDS, ROOT
from ..transport.key_value import KeyChange, KeyValueService
from .load_exchange import LoadExchange
from .state_transfer import ask_peer

__all__ = ('WRITE_PATH', 'HedgedWrites')

WRITE_PATH = '/write'

# time in which the service usually confirms, many times over; a third of
# what a caller waits for the acceptance of a job
HEDGE_AFTER_S = 0.12

# time for a peer's own write, with its repeats
PEER_TIMEOUT_S = 3.5

# prefixes of the keys that peers write for each other
_ALLOWED = (JOB_BODIES, JOB_ENDS)

_CHANGES = msgspec.msgpack.Decoder(tuple[KeyChange, ...])


@attrs.frozen
class _Outcome:
    """How one of two writes ended.

    :param is_known: whether it was confirmed, made or not.
    :param revision: of the write, or nothing when another was first.
    :param may_be_made: whether it may have been made, or may still be.
    """

    is_known: bool = False
    revision: int | None = None
    may_be_made: bool = False


_OUTCOME = msgspec.msgpack.Decoder(_Outcome)


@attrs.define
class HedgedWrites:
    """Writes to the service, through a peer if it does not answer here."""

    service: KeyValueService
    load: LoadExchange
    port: int

    async def write(self, changes: Sequence[KeyChange]) -> int | None:
        """Make all changes, or none if a key that they create exists.

        :return: the revision, or nothing when another writer was first.
        :raises PlatformUnavailableError: nothing was written.
        :raises WriteUnknownError: the changes may have been made, or may
            still be.
        """
        found: list[_Outcome] = []
        own_ended = trio.Event()
        async with trio.open_nursery() as nursery:

            async def collect(outcome: _Outcome) -> None:
                found.append(outcome)
                if outcome.is_known:
                    nursery.cancel_scope.cancel()

            async def write_here() -> None:
                outcome = await self._write_here(changes)
                own_ended.set()
                await collect(outcome)

            async def write_there() -> None:
                with trio.move_on_after(HEDGE_AFTER_S):
                    await own_ended.wait()
                await collect(await self._write_there(changes))

            nursery.start_soon(write_here)
            nursery.start_soon(write_there)
        return _combine(found)

    async def take(self, body: bytes) -> bytes | None:
        """Make the write that a peer asks for; return its outcome."""
        try:
            changes = _CHANGES.decode(body)
        except msgspec.MsgspecError as exc:
            log_message('write:malformed', reason=str(exc))
            return None
        if not all(change.key.startswith(_ALLOWED) for change in changes):
            log_message('write:not-allowed', key=changes[0].key)
            return None
        return msgspec.msgpack.encode(await self._write_here(changes))

    async def _write_here(self, changes: Sequence[KeyChange]) -> _Outcome:
        try:
            revision = await self.service.transact(changes)
        except WriteUnknownError:
            return _Outcome(may_be_made=True)
        except PlatformUnavailableError:
            return _Outcome()
        return _Outcome(is_known=True, revision=revision)

    async def _write_there(self, changes: Sequence[KeyChange]) -> _Outcome:
        host = self._peer_host()
        if host is None:
            return _Outcome()
        body = msgspec.msgpack.encode(tuple(changes))
        raw = None
        try:
            with trio.move_on_after(PEER_TIMEOUT_S):
                raw = await ask_peer((host, self.port), WRITE_PATH, body)
            if raw is not None:
                return _OUTCOME.decode(raw)
        except (BriarrillError, msgspec.MsgspecError) as exc:
            log_message('write:peer-failed', peer=host, reason=repr(exc))
        return _Outcome(may_be_made=True)

    def _peer_host(self) -> str | None:
        """Return the peer in reach that follows the service most closely."""
        able = [
            report
            for report in self.load.peers.reachable
            if ROOT in report.connected and not report.is_leaving
        ]
        if not able:
            return None
        newest = max(
            able, key=lambda report: report.revisions.get(ROOT, -math.inf)
        )
        return newest.host


def _combine(found: Sequence[_Outcome]) -> int | None:
    for outcome in found:
        if outcome.is_known:
            return outcome.revision
    if any(outcome.may_be_made for outcome in found):
        raise WriteUnknownError('no reply to a write, here or at a peer')
    raise PlatformUnavailableError('the service takes no writes')
