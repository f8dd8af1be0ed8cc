"""briarrill.protocol.load_reports: what processes tell each other.

Reports go out as datagrams: a lost or late one is made good by the next.
"""

from types import GenericAlias

import attrs
import msgspec
import xxhash

from ..errors import MalformedMessageError

__all__ = ('LoadReport', 'decode_report', 'encode_report', 'short_mark')

PROTOCOL_VERSION = 2


@attrs.frozen
class LoadReport:
    """What a process has at upstreams and how much it knows.

    :param process: the instance's name, unique in the fleet.
    :param incarnation: start of the process; grows with each start.
    :param sequence: grows with each report of an incarnation.
    :param runs_batch: whether the process runs batch items.
    :param is_leaving: it takes no new work.
    :param online: requests in flight by upstream.
    :param batch: batch items in flight by upstream.
    :param items: marks of the batch items that are run or have just ended.
    :param claims: marks of those of them that are about to start.
    :param held: marks of the items whose last run was broken off here.
    :param heard: marks of the processes whose own reports arrive here.
    :param suspects: upstreams that have fallen silent.
    :param delays: seconds to first bytes, by upstream that began late.
    :param revisions: newest change seen, by prefix of keys.
    :param connected: prefixes that are followed at the moment.
    """

    process: str
    host: str
    incarnation: int
    sequence: int
    runs_batch: bool = False
    is_leaving: bool = False
    online: dict[str, int] = attrs.field(factory=dict)
    batch: dict[str, int] = attrs.field(factory=dict)
    items: tuple[int, ...] = ()
    claims: tuple[int, ...] = ()
    held: tuple[int, ...] = ()
    heard: tuple[int, ...] = ()
    suspects: tuple[str, ...] = ()
    delays: dict[str, float] = attrs.field(factory=dict)
    revisions: dict[str, int] = attrs.field(factory=dict)
    connected: tuple[str, ...] = ()
    version: int = PROTOCOL_VERSION


def short_mark(name: str) -> int:
    """Return what stands for an item or a process in reports.

    Two items with one mark only wait for each other, and of two processes
    with one mark the reports are not forwarded.
    """
    return xxhash.xxh32_intdigest(name.encode())


_NAMES = tuple(field.name for field in attrs.fields(LoadReport))
_TYPES = tuple(field.type for field in attrs.fields(LoadReport))
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(GenericAlias(tuple, _TYPES))


def encode_report(report: LoadReport) -> bytes:
    """Return a report as a datagram, without the names of its fields."""
    return _ENCODER.encode([getattr(report, name) for name in _NAMES])


def decode_report(raw: bytes) -> LoadReport:
    """Return the report of a datagram.

    :raises MalformedMessageError: it holds none of this version.
    """
    try:
        report = LoadReport(*_DECODER.decode(raw))
    except msgspec.MsgspecError as exc:
        raise MalformedMessageError(f'load report: {exc}') from exc
    if report.version != PROTOCOL_VERSION:
        raise MalformedMessageError(f'load report version {report.version}')
    return report
