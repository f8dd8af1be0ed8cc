"""briarrill.protocol.load_reports: load and state datagrams between processes.

Each report replaces the one before, so lost and late reports need no retry.
"""

import functools
from types import GenericAlias
from typing import Any

import attrs
import msgspec
import xxhash

from ..decoding import Decoder
from ..errors import MalformedMessageError
from .demand_news import DemandNews
from .limit_news import LimitNews
from .numbers import Count, NonNegativeNumber
from .prompt_news import PromptNews

__all__ = ('LoadReport', 'decode_report', 'encode_report', 'short_hash')

PROTOCOL_VERSION = 8

# hashes of items and processes that are kept for their next use
MAX_CACHED_HASHES = 8192


@attrs.frozen
class LoadReport:
    """Work in flight of a process, and its view of upstreams, peers and keys.

    :param process: the instance's name, unique in the fleet.
    :param incarnation: number of the process start; increases with each.
    :param sequence: number of the report within the incarnation.
    :param failure_domain: the process's.
    :param runs_batch: whether the process runs batch items.
    :param is_leaving: whether the process is draining.
    :param online: requests in flight by upstream.
    :param batch: batch items in flight by upstream.
    :param items: hashes of batch items that are running or just ended.
    :param claims: hashes of those items that are about to start.
    :param held: hashes of items whose latest run was interrupted here.
    :param unheard: hashes of known processes whose reports do not arrive
        here directly.
    :param suspects: upstreams that stopped responding.
    :param delays: seconds to the first bytes, by slow upstream.
    :param leaving: incarnations of upstreams that announced their departure,
        by their state or in a response.
    :param removed: incarnations of upstreams whose registration was removed
        of late.
    :param revisions: newest revision received, by key prefix.
    :param connected: key prefixes whose changes arrive, none if the
        key-value service does not reply to the process.
    :param prompt_news: what the process tells of prompts that crash upstreams,
        none mostly.
    :param limit_news: what the process tells of request limits, none mostly.
    :param tokens: that the requests or items in flight may hold, by upstream.
    :param speeds: percent of the usual speed, by hash of an incarnation, for
        some upstreams that differ.
    :param part_places: pairs of hashes: an incarnation, and a shared part of
        prompts that was sent to it.
    :param demand_news: the demand of customers for services whose slots are
        short, none mostly.
    """

    process: str
    host: str
    incarnation: int
    sequence: int
    failure_domain: str = ''
    runs_batch: bool = False
    is_leaving: bool = False
    online: dict[str, Count] = attrs.field(factory=dict)
    batch: dict[str, Count] = attrs.field(factory=dict)
    items: tuple[int, ...] = ()
    claims: tuple[int, ...] = ()
    held: tuple[int, ...] = ()
    unheard: tuple[int, ...] = ()
    suspects: tuple[str, ...] = ()
    delays: dict[str, NonNegativeNumber] = attrs.field(factory=dict)
    leaving: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()
    revisions: dict[str, Count] = attrs.field(factory=dict)
    connected: tuple[str, ...] = ()
    prompt_news: PromptNews | None = None
    limit_news: LimitNews | None = None
    tokens: dict[str, Count] = attrs.field(factory=dict)
    speeds: dict[int, Count] = attrs.field(factory=dict)
    part_places: tuple[int, ...] = ()
    demand_news: DemandNews | None = None
    version: int = PROTOCOL_VERSION


@functools.lru_cache(maxsize=MAX_CACHED_HASHES)
def short_hash(name: str) -> int:
    """Return the 32-bit hash that names an item or a process in reports.

    On a collision, two items wait for each other, and reports of two
    processes are not forwarded.
    """
    return xxhash.xxh32_intdigest(name.encode())


_FIELD_NAMES = tuple(field.name for field in attrs.fields(LoadReport))
_FIELD_TYPES = tuple(field.type for field in attrs.fields(LoadReport))
_ENCODER = msgspec.msgpack.Encoder()
_DECODER: Decoder[tuple[Any, ...]] = Decoder(
    msgspec.msgpack.Decoder(GenericAlias(tuple, _FIELD_TYPES)).decode
)


def encode_report(report: LoadReport) -> bytes:
    """Encode a report as an array of its field values."""
    return _ENCODER.encode([getattr(report, name) for name in _FIELD_NAMES])


def decode_report(raw: bytes) -> LoadReport:
    """Decode a report from a datagram.

    :raises MalformedMessageError: the bytes are not a report, or it has
        another protocol version.
    """
    report = LoadReport(*_DECODER.decode(raw))
    if report.version != PROTOCOL_VERSION:
        raise MalformedMessageError(
            f'load report version {report.version}, not {PROTOCOL_VERSION}'
        )
    return report
