"""briarrill.coordination.response_matching: tell whose response was received.

An upstream that writes a response twice sends the copy where the next one on
its connection is expected. The identifier that a response echoes tells them
apart. So a connection is kept only while all responses of its upstream echo
one. A response that does not, on a kept connection, may be the answer or a
copy. So may one that looks like the reply to the question who the upstream is.
"""

import enum

import attrs

from ..transport.http_messages import Headers, ResponseHead

__all__ = ('Match', 'ResponseMatcher', 'look_alike')

# headers that differ between two replies to the same question
_VARYING_HEADERS = frozenset((b'content-length', b'date'))

# incarnations remembered, above the number of upstreams that serve at a time
MAX_INCARNATIONS = 4096


class Match(enum.Enum):
    """Whether a response belongs to a request."""

    OWN = enum.auto()
    OTHER = enum.auto()
    UNKNOWN = enum.auto()


@attrs.define
class _Echoes:
    """Which responses of one incarnation echoed an identifier.

    :param has_echoed: one did.
    :param has_omitted: one did not.
    """

    has_echoed: bool = False
    has_omitted: bool = False


def look_alike(first: ResponseHead, second: ResponseHead) -> bool:
    """Tell whether two responses may be replies to the same question."""
    return first.status == second.status and (
        _stable_headers(first.headers) == _stable_headers(second.headers)
    )


def _stable_headers(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Return the headers, those that vary without their values."""
    return sorted(
        (name, b'' if name in _VARYING_HEADERS else text)
        for name, text in headers
    )


class ResponseMatcher:
    """Tells which responses belong to which requests."""

    def __init__(self) -> None:
        """Start without knowledge of upstreams."""
        self._echoes: dict[str, _Echoes] = {}

    def match(
        self,
        request_id: str,
        echoed_id: str | None,
        incarnation: str,
        *,
        is_kept: bool,
        is_like_reply: bool = False,
    ) -> Match:
        """Record a response; tell whether it belongs to a request.

        :param echoed_id: identifier that it echoes, if any.
        :param is_kept: whether its connection carried an earlier request.
        :param is_like_reply: whether it looks like a reply on its connection
            that was no response to a call.
        """
        echoes = self._echoes_of(incarnation)
        if echoed_id is None and is_like_reply:
            return Match.UNKNOWN
        if echoed_id is None:
            echoes.has_omitted = True
            is_doubtful = is_kept and echoes.has_echoed
            return Match.UNKNOWN if is_doubtful else Match.OWN
        echoes.has_echoed = True
        return Match.OWN if echoed_id == request_id else Match.OTHER

    def may_keep_connections(self, incarnation: str) -> bool:
        """Tell whether another request may follow on a connection."""
        return not self._echoes_of(incarnation).has_omitted

    def _echoes_of(self, incarnation: str) -> _Echoes:
        """Return what is known of an incarnation."""
        echoes = self._echoes.setdefault(incarnation, _Echoes())
        if len(self._echoes) > MAX_INCARNATIONS:
            self._echoes.pop(next(iter(self._echoes)))
        return echoes
