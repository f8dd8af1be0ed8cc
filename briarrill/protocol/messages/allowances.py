"""briarrill.protocol.messages.allowances: shares of a contract's limits."""

import attrs

from .base import Message

__all__ = ('Allowance', 'Borrow')


@attrs.frozen
class Borrow(Message):
    """Asks a contract's holder for a part of its limits.

    :param requests: requests that the sender wants to admit.
    :param tokens: generated tokens that it wants to admit or has overdrawn.
    :param in_flight: requests in flight that it wants to reach in all.
    :param in_use: requests in flight at the sender now.
    """

    process: str
    contract: str
    requests: float
    tokens: float
    in_flight: int
    in_use: int


@attrs.frozen
class Allowance(Message):
    """What the holder lends, from when the request for it was sent.

    :param requests: requests that may be admitted once.
    :param tokens: generated tokens that may be admitted once.
    :param in_flight: requests that may be in flight in all.
    :param duration_s: seconds after which all of it lapses.
    :param retry_after_s: seconds until the holder can lend more requests.
    :param token_retry_after_s: the same for tokens.
    """

    requests: float
    tokens: float
    in_flight: int
    duration_s: float
    retry_after_s: float = 0.0
    token_retry_after_s: float = 0.0
