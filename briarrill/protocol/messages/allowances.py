"""briarrill.protocol.messages.allowances: lending of a contract's limits."""

import attrs

from .base import Message

__all__ = ('Allowance', 'Borrow')


@attrs.frozen
class Borrow(Message):
    """Requests a part of a contract's limits from the process that lends them.

    :param requests: requests that the sender wants to admit.
    :param tokens: generated tokens that it wants to admit or has overdrawn.
    :param in_flight: total requests in flight that it wants to be allowed.
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
    """The part of the limits that is lent; valid from the send time of Borrow.

    :param requests: requests that may be admitted once.
    :param tokens: generated tokens that may be admitted once.
    :param in_flight: total requests that may be in flight.
    :param duration_s: seconds after which the allowance expires.
    :param retry_after_s: seconds until the lender can lend more requests.
    :param token_retry_after_s: seconds until it can lend more tokens.
    """

    requests: float
    tokens: float
    in_flight: int
    duration_s: float
    retry_after_s: float = 0.0
    token_retry_after_s: float = 0.0
