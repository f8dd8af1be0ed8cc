"""briarrill.coordination.hedged_writes: hedge writes through a peer.

The key-value service may not respond to one instance while it serves others;
a caller's job would wait for seconds until the entry gives up. So a write
that is not confirmed soon is also sent through a peer. Only writes that
create their keys or are idempotent may be hedged.
"""

import math
from collections.abc import Sequence

import attrs
import msgspec
import trio
from eliot import log_message

from ..decoding import msgpack_decoder
from ..errors import (
    BriarrillError,
    MalformedMessageError,
    PlatformUnavailableError,
    WriteRefusedError,
    WriteUnknownError,
)
from ..state.keys import JOB_BODIES_PREFIX, JOB_ENDS_PREFIX, ROOT_PREFIX
from ..transport.key_value import KeyChange, KeyValueService
from .load_exchange import LoadExchange
from .state_transfer import request_from_peer

__all__ = ('WRITE_PATH', 'HedgedWrites')

WRITE_PATH = '/write'

# delay before a write is also sent through a peer: many times the usual time
# to a confirmation, a third of the time that a caller waits for job acceptance
HEDGE_DELAY_S = 0.12

# time for a peer's write to the service, including its retries
PEER_WRITE_TIMEOUT_S = 3.5

# prefixes of the keys that this process writes for a peer
_PEER_KEY_PREFIXES = (JOB_BODIES_PREFIX, JOB_ENDS_PREFIX)

_CHANGES_DECODER = msgpack_decoder(tuple[KeyChange, ...])


@attrs.frozen
class _Outcome:
    """Outcome of a write, either direct or through a peer.

    :param is_known: the service replied.
    :param revision: revision of the write, none if a key existed already.
    :param may_be_made: the write may have taken effect, or still may.
    :param is_refused: the service takes no such write.
    """

    is_known: bool = False
    revision: int | None = None
    may_be_made: bool = False
    is_refused: bool = False


_OUTCOME_DECODER = msgpack_decoder(_Outcome)


@attrs.define
class HedgedWrites:
    """Writes to the service directly, and through a peer if that is slow.

    :param load: names the reachable peers.
    :param port: state transfer port of the peers.
    """

    service: KeyValueService
    load: LoadExchange
    port: int

    async def write(self, changes: Sequence[KeyChange]) -> int | None:
        """Apply all changes, or none if a key that they create exists.

        :return: the revision, or none if a key existed already.
        :raises WriteRefusedError: nothing was written, and the same changes
            will be refused again.
        :raises PlatformUnavailableError: nothing was written.
        :raises WriteUnknownError: the changes may have taken effect, or
            still may.
        """
        outcomes: list[_Outcome] = []
        direct_ended = trio.Event()
        async with trio.open_nursery() as nursery:

            async def record_outcome(outcome: _Outcome) -> None:
                outcomes.append(outcome)
                if outcome.is_known:
                    nursery.cancel_scope.cancel()

            async def write_directly() -> None:
                outcome = await self._write_directly(changes)
                direct_ended.set()
                await record_outcome(outcome)

            async def write_through_peer() -> None:
                with trio.move_on_after(HEDGE_DELAY_S):
                    await direct_ended.wait()
                await record_outcome(await self._write_through_peer(changes))

            nursery.start_soon(write_directly)
            nursery.start_soon(write_through_peer)
        return _resolve_outcomes(outcomes)

    async def apply_peer_write(self, body: bytes) -> bytes | None:
        """Execute a peer's write.

        :return: the encoded outcome, or none if the body is malformed or a
            key is outside the allowed prefixes.
        """
        try:
            changes = _CHANGES_DECODER.decode(body)
        except MalformedMessageError as exc:
            log_message('write:malformed', reason=exc.message)
            return None
        refused = [
            change.key
            for change in changes
            if not change.key.startswith(_PEER_KEY_PREFIXES)
        ]
        if refused:
            log_message('write:not-allowed', key=refused[0])
            return None
        return msgspec.msgpack.encode(await self._write_directly(changes))

    async def _write_directly(self, changes: Sequence[KeyChange]) -> _Outcome:
        """Write to the service; report errors as an unconfirmed outcome."""
        try:
            revision = await self.service.transact(changes)
        except WriteRefusedError:
            return _Outcome(is_known=True, is_refused=True)
        except WriteUnknownError:
            return _Outcome(may_be_made=True)
        except PlatformUnavailableError:
            return _Outcome()
        return _Outcome(is_known=True, revision=revision)

    async def _write_through_peer(
        self, changes: Sequence[KeyChange]
    ) -> _Outcome:
        """Write through a peer; report errors as an unconfirmed outcome."""
        host = self._peer_host()
        if host is None:
            return _Outcome()
        body = msgspec.msgpack.encode(tuple(changes))
        raw = None
        try:
            with trio.move_on_after(PEER_WRITE_TIMEOUT_S):
                raw = await request_from_peer(
                    (host, self.port), WRITE_PATH, body
                )
            if raw is not None:
                return _OUTCOME_DECODER.decode(raw)
        except BriarrillError as exc:
            log_message('write:peer-failed', peer=host, reason=repr(exc))
        return _Outcome(may_be_made=True)

    def _peer_host(self) -> str | None:
        """Return the host of the peer with the newest revision.

        Only peers that are reachable, connected to the service and not
        leaving are considered; none is returned without any.
        """
        candidates = [
            report
            for report in self.load.peers.reachable
            if ROOT_PREFIX in report.connected and not report.is_leaving
        ]
        if not candidates:
            return None
        newest = max(
            candidates,
            key=lambda report: report.revisions.get(ROOT_PREFIX, -math.inf),
        )
        return newest.host


def _resolve_outcomes(outcomes: Sequence[_Outcome]) -> int | None:
    """Return the revision of the confirmed write, or raise an error."""
    for outcome in outcomes:
        if outcome.is_refused:
            raise WriteRefusedError('the key-value service refuses the write')
        if outcome.is_known:
            return outcome.revision
    if any(outcome.may_be_made for outcome in outcomes):
        raise WriteUnknownError(
            'the key-value service did not confirm a write,'
            ' sent directly or through a peer'
        )
    raise PlatformUnavailableError(
        'the key-value service accepts no writes,'
        ' sent directly or through a peer'
    )
