"""briarrill.platform.store_replies: reads the JSON of the store's replies."""

from collections.abc import Callable, Sequence
from functools import cached_property
from typing import Annotated, Generic, TypeVar

import attrs
import msgspec
from eliot import log_message

from ..decoding import decode_base64, json_decoder
from ..errors import MalformedMessageError
from ..transport.key_value import KeyValue, WatchEvent

__all__ = (
    'ITEM_DECODER',
    'LEASE_DECODER',
    'RANGE_DECODER',
    'TXN_DECODER',
    'WATCH_DECODER',
    'RangeReply',
    'ReadItems',
    'WatchReply',
)

# wire form of no lease
NO_LEASE = 0

# largest whole number that is encoded in messages to peers
_MAX_NUMBER = 0x7FFFFFFFFFFFFFFF

Number = Annotated[int, msgspec.Meta(ge=0, le=_MAX_NUMBER)]

_Converted = TypeVar('_Converted')


@attrs.frozen
class Item:
    """A key in the store's JSON.

    :param value: base64; empty in a tombstone.
    :param revision: revision of the key's last change.
    :param tombstone: whether the key was deleted.
    """

    key: Annotated[str, msgspec.Meta(min_length=1)]
    value: str = ''
    revision: Number = 0
    tombstone: bool = False

    def as_key_value(self) -> KeyValue:
        """Return the key with its value.

        :raises MalformedMessageError: the value is no base64.
        """
        return KeyValue(self.key, decode_base64(self.value), self.revision)

    def as_event(self) -> WatchEvent:
        """Return the change of the key.

        :raises MalformedMessageError: the value is no base64.
        """
        body = None if self.tombstone else decode_base64(self.value)
        return WatchEvent(self.key, body, self.revision)


ITEM_DECODER = json_decoder(Item)


@attrs.frozen
class ReadItems(Generic[_Converted]):
    """Items of a reply.

    :param readable: the decoded ones, in order.
    :param unreadable: the bytes of the others.
    """

    readable: tuple[_Converted, ...]
    unreadable: frozenset[bytes]


@attrs.frozen
class RangeReply:
    """A page of keys, undecoded; ``at`` is the revision of the whole store."""

    items: tuple[msgspec.Raw, ...]
    has_more: bool
    at: Number

    def all_entries(self) -> list[KeyValue]:
        """Return the keys of the page.

        :raises MalformedMessageError: an item cannot be read.
        """
        return [ITEM_DECODER.decode(raw).as_key_value() for raw in self.items]

    @cached_property
    def listed(self) -> ReadItems[KeyValue]:
        """Return the keys of the page, and the items that cannot be read."""
        return _read(self.items, Item.as_key_value)


@attrs.frozen
class WatchReply:
    """Undecoded changes since a revision, complete up to ``at``."""

    events: tuple[msgspec.Raw, ...]
    at: Number

    @cached_property
    def listed(self) -> ReadItems[WatchEvent]:
        """Return the changes, and the items that cannot be read."""
        return _read(self.events, Item.as_event)


@attrs.frozen
class TxnReply:
    revision: Number


@attrs.frozen
class LeaseReply:
    """A granted or renewed lease."""

    ttl_ms: Number
    lease: Number = NO_LEASE


RANGE_DECODER = json_decoder(RangeReply)
WATCH_DECODER = json_decoder(WatchReply)
TXN_DECODER = json_decoder(TxnReply)
LEASE_DECODER = json_decoder(LeaseReply)


def _read(
    items: Sequence[msgspec.Raw], convert: Callable[[Item], _Converted]
) -> ReadItems[_Converted]:
    """Decode items; log those that cannot be read."""
    readable = []
    unreadable = set()
    for raw in items:
        try:
            readable.append(convert(ITEM_DECODER.decode(raw)))
        except MalformedMessageError as exc:
            log_message('store:item-unreadable', reason=exc.message)
            unreadable.add(bytes(raw))
    return ReadItems(tuple(readable), frozenset(unreadable))
