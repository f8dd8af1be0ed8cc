"""briarrill.state.segment_copies: places segments on data folders."""

import collections

import attrs

from ..coordination.membership import Membership
from ..coordination.rendezvous import spread
from ..errors import (
    BriarrillError,
    PlatformUnavailableError,
    SegmentLostError,
    StoreFullError,
)
from ..protocol.messages import GetSegment, PutSegment, Segment
from ..protocol.rpc import RpcCaller
from ..transport.instance_list import Instance, Role
from .job_records import Place, SegmentRef
from .segments import segment_name

__all__ = ('SegmentCopies',)

TRANSFER_TIMEOUT_S = 10.0
RETRY_AFTER_S = 5.0


@attrs.frozen
class SegmentCopies:
    """Stores and reads segments over the processes that keep them.

    :param port: store port of the batch processes.
    :param copies: instances of different failure domains for each segment.
    """

    caller: RpcCaller
    membership: Membership
    port: int
    copies: int

    async def put(self, body: bytes, lines: int) -> SegmentRef:
        """Store a segment on all its copies.

        :raises StoreFullError: a data folder that is needed is full.
        :raises PlatformUnavailableError: too few data folders answer.
        """
        name = segment_name(body)
        places: list[Place] = []
        last_error: BriarrillError | None = None
        for instance in self._candidates(name):
            if _holds_domain(places, instance):
                continue
            try:
                await self._put_copy(instance, name, body)
            except BriarrillError as exc:
                last_error = exc
            else:
                places.append(_place(instance))
            if len(places) == self.copies:
                return SegmentRef(name, lines, len(body), tuple(places))
        raise _too_few_copies(len(places), self.copies, last_error)

    async def get(self, ref: SegmentRef) -> bytes:
        """Read a segment from any copy and verify it.

        :raises SegmentLostError: no copy could be read.
        """
        for place in ref.places:
            request = GetSegment(segment=ref.name)
            try:
                reply = await self.caller.call(
                    place.host, self.port, request, TRANSFER_TIMEOUT_S
                )
            except BriarrillError:
                continue
            if not isinstance(reply, Segment):
                continue
            if segment_name(reply.body) == ref.name:
                return reply.body
        raise SegmentLostError(f'no copy of segment {ref.name} can be read')

    async def _put_copy(
        self, instance: Instance, name: str, body: bytes
    ) -> None:
        request = PutSegment(segment=name, body=body)
        await self.caller.call(
            instance.host, self.port, request, TRANSFER_TIMEOUT_S
        )

    def _candidates(self, name: str) -> list[Instance]:
        """Return the instances with data folders, best place first."""
        instances = self.membership.live(Role.BATCH)
        by_name = {instance.name: instance for instance in instances}
        domains: dict[str, list[str]] = collections.defaultdict(list)
        for instance in instances:
            domains[instance.failure_domain].append(instance.name)
        return [by_name[key] for key in spread(name, domains, len(by_name))]


def _place(instance: Instance) -> Place:
    return Place(instance.name, instance.host, instance.failure_domain)


def _holds_domain(places: list[Place], instance: Instance) -> bool:
    return instance.failure_domain in {
        place.failure_domain for place in places
    }


def _too_few_copies(
    stored: int, wanted: int, last_error: BriarrillError | None
) -> BriarrillError:
    if isinstance(last_error, StoreFullError):
        return last_error
    return PlatformUnavailableError(
        f'{stored} of {wanted} copies could be stored',
        retry_after_s=RETRY_AFTER_S,
    )
