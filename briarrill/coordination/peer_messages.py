"""briarrill.coordination.peer_messages: messages beside the load reports.

They share the UDP port of the reports. Each kind has its own first byte.
"""

from collections.abc import Callable
from typing import Any

import attrs

from ..protocol.allowances import decode_allowance, is_allowance
from ..protocol.load_probes import decode_probe, is_probe
from ..protocol.permits import decode_permit, is_permit
from ..protocol.place_questions import decode_place, is_place
from ..protocol.stream_origins import decode_origin, is_origin
from .allowances.peer_lender import PeerLender
from .even_load.place_exchange import PlaceExchange
from .load_prober import LoadProber
from .origin_sharing import OriginSharing
from .permit_exchange import PermitExchange

__all__ = ('PeerMessages',)


@attrs.frozen
class _Kind:
    """Messages of one kind.

    :param is_kind: tells whether a datagram is of this kind.
    :param decode: decodes it; raises MalformedMessageError if it cannot.
    :param receive: called with the message and the sender's host.
    """

    is_kind: Callable[[bytes], bool]
    decode: Callable[[bytes], Any]
    receive: Callable[[Any, str], None]


@attrs.frozen
class PeerMessages:
    """Who sends and receives the messages of each kind.

    :param prober: asks owners of upstreams for their loads.
    :param places: asks lenders for places at upstreams.
    :param permits: asks owners of limits that upstreams named.
    :param origins: tells and asks what began a stream.
    :param lender: borrows from the rates of customers.
    """

    prober: LoadProber
    places: PlaceExchange
    permits: PermitExchange
    origins: OriginSharing
    lender: PeerLender
    _kinds: tuple[_Kind, ...] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """List the kinds of messages."""
        kinds = (
            _Kind(is_probe, decode_probe, self.prober.receive),
            _Kind(is_place, decode_place, self.places.receive),
            _Kind(is_permit, decode_permit, self.permits.receive),
            _Kind(is_origin, decode_origin, self.origins.receive),
            _Kind(
                is_allowance, decode_allowance, self.lender.exchange.receive
            ),
        )
        object.__setattr__(self, '_kinds', kinds)

    def accept(self, raw: bytes, sender: str) -> bool:
        """Pass a datagram to its receiver; tell whether it has one.

        :raises MalformedMessageError: it cannot be read.
        """
        for kind in self._kinds:
            if kind.is_kind(raw):
                kind.receive(kind.decode(raw), sender)
                return True
        return False
