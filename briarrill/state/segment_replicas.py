"""briarrill.state.segment_replicas: stores and reads replicas of segments."""

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
from .rendezvous import choose_across_domains
from .segments import segment_name

__all__ = ('SegmentReplicas',)

TRANSFER_TIMEOUT_S = 10.0

# Retry-After of an error when too few replicas could be stored
STORE_RETRY_AFTER_S = 5.0

# delay before a request is also sent to the next holder
HEDGE_DELAY_S = 0.3

# time for which a holder that did not respond is ranked last
UNRESPONSIVE_HOLDER_PENALTY_S = 10.0

READ_POLL_INTERVAL_S = 0.02


@attrs.define
class SegmentReplicas:
    """Stores and reads replicas of segments on batch processes.

    If a holder does not respond within HEDGE_DELAY_S, the next one is tried
    as well; the slow one is ranked last for
    UNRESPONSIVE_HOLDER_PENALTY_S.

    :param port: store port of the batch processes.
    :param replica_count: number of replicas, each in another failure domain.
    """

    caller: RpcCaller
    membership: Membership
    port: int
    replica_count: int
    _unresponsive_until: dict[str, float] = attrs.field(factory=dict)

    async def put(self, body: bytes, lines: int) -> SegmentRef:
        """Store all replicas of a segment.

        :param lines: number of lines in the body.
        :raises StoreFullError: too few replicas could be stored; the last
            error was a full data folder.
        :raises PlatformUnavailableError: too few replicas could be stored.
        """
        request = PutSegment(segment=segment_name(body), body=body)
        writer = _ReplicaWriter(self, request)
        places = await writer.run(self._candidates(request.segment))
        return SegmentRef(request.segment, lines, len(body), places)

    async def get(self, ref: SegmentRef) -> bytes:
        """Read a segment from any replica and verify its checksum.

        :raises SegmentLostError: no replica could be read.
        """
        bodies: list[bytes] = []
        async with trio.open_nursery() as nursery:
            for place in sorted(ref.places, key=self._is_unresponsive):
                attempt_ended = trio.Event()
                nursery.start_soon(
                    self._read_replica, ref, place, bodies, attempt_ended
                )
                with trio.move_on_after(HEDGE_DELAY_S):
                    await attempt_ended.wait()
                if bodies:
                    break
            while not bodies and nursery.child_tasks:
                await trio.sleep(READ_POLL_INTERVAL_S)
            nursery.cancel_scope.cancel()
        if not bodies:
            raise SegmentLostError(
                f'no copy of segment {ref.name} can be read'
            )
        return bodies[0]

    async def call_holder(self, host: str, request: Message) -> Message:
        """Send a request to a holder.

        Ranks it last for UNRESPONSIVE_HOLDER_PENALTY_S unless it replies
        without an error.
        """
        self._unresponsive_until[host] = (
            time.monotonic() + UNRESPONSIVE_HOLDER_PENALTY_S
        )
        reply = await self.caller.call(
            host, self.port, request, TRANSFER_TIMEOUT_S
        )
        self._unresponsive_until.pop(host, None)
        return reply

    async def _read_replica(
        self,
        ref: SegmentRef,
        place: Place,
        bodies: list[bytes],
        attempt_ended: trio.Event,
    ) -> None:
        """Append the segment's bytes to bodies if the replica is intact."""
        with contextlib.suppress(BriarrillError):
            reply = await self.call_holder(
                place.host, GetSegment(segment=ref.name)
            )
            if _is_intact_segment(reply, ref):
                bodies.append(reply.body)
        attempt_ended.set()

    def _is_unresponsive(self, place: Place | Instance) -> bool:
        return self._unresponsive_until.get(place.host, 0) > time.monotonic()

    def _candidates(self, name: str) -> list[Instance]:
        """Return the live batch instances in the order in which to store.

        Ranked by rendezvous hashing over failure domains, unresponsive ones
        last.
        """
        instances = self.membership.live_instances(Role.BATCH)
        by_name = {instance.name: instance for instance in instances}
        domains: dict[str, list[str]] = collections.defaultdict(list)
        for instance in instances:
            domains[instance.failure_domain].append(instance.name)
        ranked = [
            by_name[key]
            for key in choose_across_domains(name, domains, len(by_name))
        ]
        return sorted(ranked, key=self._is_unresponsive)


def _is_intact_segment(reply: Message, ref: SegmentRef) -> TypeGuard[Segment]:
    """Return whether the reply has the segment with a correct checksum."""
    if not isinstance(reply, Segment):
        return False
    return segment_name(reply.body) == ref.name


@attrs.define
class _ReplicaWriter:
    """Stores the replicas of one segment concurrently.

    :param places: stored replicas by failure domain.
    :param pending: instances with a running request.
    :param request_ended: set when a request succeeded or failed.
    """

    segment_replicas: SegmentReplicas
    request: PutSegment
    places: dict[str, Place] = attrs.field(factory=dict)
    pending: list[Instance] = attrs.field(factory=list)
    last_error: BriarrillError | None = None
    request_ended: trio.Event = attrs.field(factory=trio.Event)

    async def run(self, candidates: list[Instance]) -> tuple[Place, ...]:
        """Store the replicas and return their places.

        :raises BriarrillError: too few could be stored.
        """
        async with trio.open_nursery() as nursery:
            await self._start_replicas(nursery, candidates)
            while self.pending and not self._is_complete:
                await self._wait_request_ended()
            nursery.cancel_scope.cancel()
        if not self._is_complete:
            raise self._too_few_replicas_error()
        return tuple(self.places.values())

    async def _start_replicas(
        self, nursery: trio.Nursery, candidates: list[Instance]
    ) -> None:
        """Send requests to candidates until all replicas are stored."""
        for instance in candidates:
            if instance.failure_domain in self.places:
                continue
            self.pending.append(instance)
            nursery.start_soon(self._store_replica, instance)
            await self._wait_before_next_replica()
            if self._is_complete:
                return

    @property
    def _is_complete(self) -> bool:
        return len(self.places) >= self.segment_replicas.replica_count

    async def _store_replica(self, instance: Instance) -> None:
        """Store one replica; record its place or the error."""
        try:
            await self.segment_replicas.call_holder(
                instance.host, self.request
            )
        except BriarrillError as exc:
            self.last_error = exc
        else:
            place = Place(
                instance.name, instance.host, instance.failure_domain
            )
            if not self._is_complete:
                self.places.setdefault(place.failure_domain, place)
        self.pending.remove(instance)
        self.request_ended.set()

    async def _wait_before_next_replica(self) -> None:
        """Wait until another request is needed or all replicas are stored.

        It is needed when stored replicas and pending requests are too few,
        at the latest after ``HEDGE_DELAY_S``.
        """
        with trio.move_on_after(HEDGE_DELAY_S):
            while self._expected_count >= self.segment_replicas.replica_count:
                if self._is_complete:
                    return
                await self._wait_request_ended()

    @property
    def _expected_count(self) -> int:
        """Number of replicas if all pending requests succeed."""
        domains = {instance.failure_domain for instance in self.pending}
        return len(domains | set(self.places))

    async def _wait_request_ended(self) -> None:
        await self.request_ended.wait()
        self.request_ended = trio.Event()

    def _too_few_replicas_error(self) -> BriarrillError:
        if isinstance(self.last_error, StoreFullError):
            return self.last_error
        return PlatformUnavailableError(
            f'{len(self.places)} of {self.segment_replicas.replica_count} '
            'copies were stored',
            retry_after_s=STORE_RETRY_AFTER_S,
        )
