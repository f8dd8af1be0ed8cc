"""briarrill.state.segment_copies: places segments on data folders."""

import collections
import contextlib
import time
from typing import TypeGuard

import attrs
import trio

from ..errors import (
    BriarrillError,
    PlatformUnavailableError,
    SegmentLostError,
    StoreFullError,
)
from ..protocol.messages import GetSegment, Message, PutSegment, Segment
from ..protocol.rpc import RpcCaller
from ..transport.instance_list import Instance, Role
from .job_records import Place, SegmentRef
from .membership import Membership
from .rendezvous import spread
from .segments import segment_name

__all__ = ('SegmentCopies',)

TRANSFER_TIMEOUT_S = 10.0
RETRY_AFTER_S = 5.0

# wait for a holder before another one is asked as well
HEDGE_S = 0.3

# how long a holder that did not answer is asked last
SILENCE_S = 10.0

READ_POLL_S = 0.02


@attrs.define
class SegmentCopies:
    """Stores and reads segments over the processes that keep them.

    A holder that does not answer soon is passed over, and for some time it
    is asked last.

    :param port: store port of the batch processes.
    :param copies: instances of different failure domains for each segment.
    """

    caller: RpcCaller
    membership: Membership
    port: int
    copies: int
    _silent_until: dict[str, float] = attrs.field(factory=dict)

    async def put(self, body: bytes, lines: int) -> SegmentRef:
        """Store a segment on all its copies.

        :raises StoreFullError: a data folder that is needed is full.
        :raises PlatformUnavailableError: too few data folders answer.
        """
        request = PutSegment(segment=segment_name(body), body=body)
        copying = _Copying(self, request)
        places = await copying.run(self._candidates(request.segment))
        return SegmentRef(request.segment, lines, len(body), places)

    async def get(self, ref: SegmentRef) -> bytes:
        """Read a segment from any copy and verify it.

        :raises SegmentLostError: no copy could be read.
        """
        found: list[bytes] = []
        async with trio.open_nursery() as nursery:
            for place in sorted(ref.places, key=self._is_silent):
                done = trio.Event()
                nursery.start_soon(self._get_copy, ref, place, found, done)
                with trio.move_on_after(HEDGE_S):
                    await done.wait()
                if found:
                    break
            while not found and nursery.child_tasks:
                await trio.sleep(READ_POLL_S)
            nursery.cancel_scope.cancel()
        if not found:
            raise SegmentLostError(
                f'no copy of segment {ref.name} can be read'
            )
        return found[0]

    async def call(self, host: str, request: Message) -> Message:
        """Ask a holder and note whether it answers."""
        self._silent_until[host] = time.monotonic() + SILENCE_S
        reply = await self.caller.call(
            host, self.port, request, TRANSFER_TIMEOUT_S
        )
        self._silent_until.pop(host, None)
        return reply

    async def _get_copy(
        self,
        ref: SegmentRef,
        place: Place,
        found: list[bytes],
        done: trio.Event,
    ) -> None:
        with contextlib.suppress(BriarrillError):
            reply = await self.call(place.host, GetSegment(segment=ref.name))
            if _holds(reply, ref):
                found.append(reply.body)
        done.set()

    def _is_silent(self, place: Place | Instance) -> bool:
        return self._silent_until.get(place.host, 0) > time.monotonic()

    def _candidates(self, name: str) -> list[Instance]:
        """Return the instances with data folders, best place first."""
        instances = self.membership.live(Role.BATCH)
        by_name = {instance.name: instance for instance in instances}
        domains: dict[str, list[str]] = collections.defaultdict(list)
        for instance in instances:
            domains[instance.failure_domain].append(instance.name)
        ranked = [by_name[key] for key in spread(name, domains, len(by_name))]
        return sorted(ranked, key=self._is_silent)


def _holds(reply: Message, ref: SegmentRef) -> TypeGuard[Segment]:
    """Return whether the reply carries the segment undamaged."""
    if not isinstance(reply, Segment):
        return False
    return segment_name(reply.body) == ref.name


@attrs.define
class _Copying:
    """Copies of one segment being stored at the same time."""

    owner: SegmentCopies
    request: PutSegment
    places: dict[str, Place] = attrs.field(factory=dict)
    running: list[Instance] = attrs.field(factory=list)
    last_error: BriarrillError | None = None
    changed: trio.Event = attrs.field(factory=trio.Event)

    async def run(self, candidates: list[Instance]) -> tuple[Place, ...]:
        """Store all copies and return their places."""
        async with trio.open_nursery() as nursery:
            await self._start_copies(nursery, candidates)
            while self.running and not self._is_complete:
                await self._wait_changed()
            nursery.cancel_scope.cancel()
        if not self._is_complete:
            raise self._too_few()
        return tuple(self.places.values())

    async def _start_copies(
        self, nursery: trio.Nursery, candidates: list[Instance]
    ) -> None:
        for instance in candidates:
            if instance.failure_domain in self.places:
                continue
            self.running.append(instance)
            nursery.start_soon(self._store, instance)
            await self._wait_until_more_are_needed()
            if self._is_complete:
                return

    @property
    def _is_complete(self) -> bool:
        return len(self.places) >= self.owner.copies

    async def _store(self, instance: Instance) -> None:
        try:
            await self.owner.call(instance.host, self.request)
        except BriarrillError as exc:
            self.last_error = exc
        else:
            place = Place(
                instance.name, instance.host, instance.failure_domain
            )
            if not self._is_complete:
                self.places.setdefault(place.failure_domain, place)
        self.running.remove(instance)
        self.changed.set()

    async def _wait_until_more_are_needed(self) -> None:
        """Return when a copy failed, or is not stored soon."""
        with trio.move_on_after(HEDGE_S):
            while self._expected >= self.owner.copies:
                if self._is_complete:
                    return
                await self._wait_changed()

    @property
    def _expected(self) -> int:
        domains = {instance.failure_domain for instance in self.running}
        return len(domains | set(self.places))

    async def _wait_changed(self) -> None:
        await self.changed.wait()
        self.changed = trio.Event()

    def _too_few(self) -> BriarrillError:
        if isinstance(self.last_error, StoreFullError):
            return self.last_error
        return PlatformUnavailableError(
            f'{len(self.places)} of {self.owner.copies} copies were stored',
            retry_after_s=RETRY_AFTER_S,
        )
