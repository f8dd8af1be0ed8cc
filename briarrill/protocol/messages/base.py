"""briarrill.protocol.messages.base: message base class and common replies."""

import attrs

from ...result_codes import Ran, ResultCode

__all__ = ('Failure', 'Message', 'Ok')


@attrs.frozen
class Message:
    """Base class; the codec registers its direct subclasses by name."""


@attrs.frozen
class Ok(Message):
    """Replies that the request succeeded."""


@attrs.frozen
class Failure(Message):
    """Replies that the request was rejected or failed.

    :param ran: whether the request ran before it failed.
    :param retry_after_s: seconds after which a retry may succeed.
    """

    code: ResultCode
    ran: Ran
    message: str
    retry_after_s: float | None = None
