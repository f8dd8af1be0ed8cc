"""briarrill.item_runs.handover: an item goes on at another process.

Answers slots that come free at another process's upstreams than those at
which an item was broken off: the process that starts it takes what its last
run has produced from the one that holds it, which then leaves it alone.
"""

import time
from collections.abc import Collection
from urllib.parse import quote, unquote

import attrs
import msgspec
import trio
from eliot import log_message

from ..coordination.batch_shares import has_right
from ..coordination.load_exchange import LoadExchange
from ..coordination.state_transfer import ask_peer
from ..errors import BriarrillError
from ..protocol.load_reports import short_mark
from ..state.rendezvous import rank
from .item import ItemProgress, ProgressRecord

__all__ = ('HANDOVER_PATH', 'Handover')

HANDOVER_PATH = '/item-progress/'

# time after which an item that was handed over, and that nobody runs, is
# taken back; several load reports
GIVEN_S = 1.0

# time in which an urgent report reaches all peers
CLAIM_S = 0.03

# peers answer within a round trip
FETCH_TIMEOUT_S = 0.3

_RECORD = msgspec.msgpack.Decoder(ProgressRecord)

_Key = tuple[str, str]


@attrs.define
class Handover:
    """Gives items to peers and takes theirs.

    :param process: name of this process.
    :param held: items of this process that are not run at the moment.
    """

    process: str
    load: LoadExchange
    port: int
    held: dict[_Key, ItemProgress]
    _given_at: dict[_Key, float] = attrs.field(factory=dict, init=False)

    def was_given(self, key: _Key) -> bool:
        """Tell whether a peer has just taken an item."""
        return time.monotonic() - self._given_at.get(key, 0) < GIVEN_S

    def give(self, path: str) -> bytes | None:
        """Return an item's progress to a peer, which will run it."""
        job_id, _, item_id = path.partition('/')
        key = (unquote(job_id), unquote(item_id))
        progress = self.held.pop(key, None)
        if progress is None:
            return None
        self._forget_given()
        self._given_at[key] = time.monotonic()
        log_message('item:given', job=key[0], request_id=key[1])
        return msgspec.msgpack.encode(progress.record())

    def is_lost(self, key: _Key, processes: Collection[str]) -> bool:
        """Tell whether a peer with a better right runs an item too.

        A peer that is only about to start it gives way.

        :param processes: the live batch processes, this one too.
        """
        mark = short_mark(key[1])
        if mark not in self.load.fleet.item_marks:
            return False
        live = self.load.live
        rivals = [
            name
            for name in self._rivals(mark)
            if mark not in live[name].claims
        ]
        if has_right(self.process, rivals, processes, *key):
            return False
        log_message('item:twin', job=key[0], request_id=key[1], peers=rivals)
        return True

    async def take(self, progress: ItemProgress) -> bool:
        """Take what a peer holds of an item; return whether it may run."""
        if progress.has_begun:
            return True
        host = self._holder(progress.stored.item_id)
        if host is None:
            return await self._claim(progress)
        was_taken = False
        # what was given is lost unless it arrives here
        with trio.CancelScope(shield=True):
            was_taken = await self._fetch(progress, host)
        return was_taken

    async def _claim(self, progress: ItemProgress) -> bool:
        """Return whether no process with a better right starts the item.

        The job's own process starts at once; others tell of it and look
        whether they are the first.
        """
        job_id, item_id = progress.key
        live = self.load.live
        peers = [name for name in live if live[name].runs_batch]
        names = [self.process, *peers]
        if rank(job_id, names)[0] == self.process:
            return True
        self.load.report_now()
        await trio.sleep(CLAIM_S)
        rivals = self._rivals(short_mark(item_id))
        return has_right(self.process, rivals, names, job_id, item_id)

    async def _fetch(self, progress: ItemProgress, host: str) -> bool:
        """Take an item from its holder; return whether it was still there."""
        job_id, item_id = progress.key
        path = f'{HANDOVER_PATH}{quote(job_id, "")}/{quote(item_id, "")}'
        try:
            with trio.fail_after(FETCH_TIMEOUT_S):
                raw = await ask_peer((host, self.port), path)
        except (BriarrillError, trio.TooSlowError) as exc:
            log_message('item:not-taken', request_id=item_id, why=repr(exc))
            return False
        if raw is None:
            return False
        progress.take_record(_RECORD.decode(raw))
        return True

    def _rivals(self, mark: int) -> list[str]:
        """Return the live processes that have an item in hand."""
        return [
            name
            for name, report in self.load.live.items()
            if mark in report.items
        ]

    def _holder(self, item_id: str) -> str | None:
        """Return the host of the live process that holds an item."""
        mark = short_mark(item_id)
        for report in self.load.live.values():
            if mark in report.held:
                return report.host
        return None

    def _forget_given(self) -> None:
        for key in list(self._given_at):
            if not self.was_given(key):
                self._given_at.pop(key)
