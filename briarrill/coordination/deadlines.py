"""briarrill.coordination.deadlines: deadlines between unsynchronized clocks.

The receiver's heartbeats carry its monotonic clock. The sender returns the
last reading with its age, so the receiver can compute an upper bound of a
message's age, even if the message was buffered while the receiver was
paused.
"""

import time

import attrs

__all__ = ('PeerClock', 'time_left_at_receiver')


@attrs.define
class PeerClock:
    """The last clock reading received from a peer.

    :param reading_s: the peer's monotonic clock.
    :param seen_at_s: local monotonic clock when the reading arrived.
    """

    reading_s: float = 0
    seen_at_s: float = attrs.field(factory=time.monotonic)

    def update(self, reading_s: float) -> None:
        """Replace the reading."""
        self.reading_s = reading_s
        self.seen_at_s = time.monotonic()

    @property
    def age_s(self) -> float:
        """Return the seconds since the reading arrived."""
        return time.monotonic() - self.seen_at_s


def time_left_at_receiver(
    time_left_s: float, peer_clock_s: float, peer_clock_age_s: float
) -> float:
    """Return a lower bound of the seconds until a message's deadline.

    Called by the receiver; negative after the deadline.

    :param time_left_s: time left when the message was sent.
    :param peer_clock_s: the receiver's clock reading that the sender had.
    :param peer_clock_age_s: age of that reading when the message was sent.
    """
    message_age_s = time.monotonic() - peer_clock_s - peer_clock_age_s
    return time_left_s - max(message_age_s, 0)
