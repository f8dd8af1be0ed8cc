"""briarrill.protocol.messages.base: the base class and the common replies."""

import attrs

from ...result_codes import Ran, ResultCode

__all__ = ('Failure', 'Message', 'Ok')


@attrs.frozen
class Message:
    """Base of all messages."""


@attrs.frozen
class Ok(Message):
    """The request was done."""


@attrs.frozen
class Failure(Message):
    """The request was refused or failed."""

    code: ResultCode
    ran: Ran
    message: str
    retry_after_s: float | None = None
