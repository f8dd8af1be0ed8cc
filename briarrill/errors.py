"""briarrill.errors: the exception tree, one class for each result code."""

from .result_codes import Ran, ResultCode

__all__ = (
    'ERRORS_BY_CODE',
    'BadRequestError',
    'BatchItemsLimitError',
    'BodyTimeoutError',
    'BriarrillError',
    'CallerError',
    'CancelledError',
    'CapacityError',
    'ConfigurationError',
    'ConflictError',
    'DeadlineExceededError',
    'DeadlineUnreachableError',
    'DrainingError',
    'DuplicateError',
    'ExecutionError',
    'FleetError',
    'ForbiddenError',
    'HeadersTooLargeError',
    'InFlightLimitError',
    'InternalError',
    'InvalidLinesError',
    'LeaseLostError',
    'LimitError',
    'MalformedMessageError',
    'NoUpstreamError',
    'NotFoundError',
    'NotReadyError',
    'OutcomeUnknownError',
    'OverloadedError',
    'PeerBusyError',
    'PeerSilentError',
    'PeerUnreachableError',
    'PlatformUnavailableError',
    'RequestRateError',
    'ResponseTooLargeError',
    'SegmentLostError',
    'SettingsError',
    'SlowReaderError',
    'SpreadIncompleteError',
    'StoreFullError',
    'TokenRateError',
    'TooLargeError',
    'UnauthenticatedError',
    'UpstreamBusyError',
    'UpstreamFailedError',
    'UpstreamLeftError',
    'UpstreamLostError',
    'UpstreamRefusedError',
    'UpstreamSilentError',
    'VersionConflictError',
    'WriteRefusedError',
    'WriteUnknownError',
)


class BriarrillError(Exception):
    """Base of all errors that reach a caller or an operator.

    :param message: description for people.
    :param ran: whether the request was executed, default by class.
    :param retry_after_s: seconds until a retry can succeed, default none.
    """

    code = ResultCode.INTERNAL
    http_status = 500
    ran = Ran.UNKNOWN

    def __init__(
        self,
        message: str,
        *,
        ran: Ran | None = None,
        retry_after_s: float | None = None,
    ) -> None:
        """Store the message, the retry delay and the outcome."""
        super().__init__(message)
        self.message = message
        self.retry_after_s = retry_after_s
        self.ran = ran or type(self).ran


class InternalError(BriarrillError):
    """A defect of briarrill itself."""


class CallerError(BriarrillError):
    """The request is invalid; repeating it unchanged fails again."""

    http_status = 400
    ran = Ran.NO


class BadRequestError(CallerError):
    """The request is malformed."""

    code = ResultCode.BAD_REQUEST


class InvalidLinesError(CallerError):
    """A batch input file contains invalid lines."""

    code = ResultCode.INVALID_LINES


class UnauthenticatedError(CallerError):
    """The API key is missing or unknown."""

    code = ResultCode.UNAUTHENTICATED
    http_status = 401


class ForbiddenError(CallerError):
    """The contract does not include the model or service."""

    code = ResultCode.FORBIDDEN
    http_status = 403


class NotFoundError(CallerError):
    """The resource does not exist under this contract."""

    code = ResultCode.NOT_FOUND
    http_status = 404


class ConflictError(CallerError):
    """The current state of the resource does not allow the request."""

    code = ResultCode.CONFLICT
    http_status = 409


class TooLargeError(CallerError):
    """The request body is larger than its limit."""

    code = ResultCode.TOO_LARGE
    http_status = 413


class HeadersTooLargeError(CallerError):
    """The request headers are larger than their limit."""

    code = ResultCode.HEADERS_TOO_LARGE
    http_status = 431


class BodyTimeoutError(CallerError):
    """The request's headers or body did not arrive in time."""

    code = ResultCode.BODY_TIMEOUT
    http_status = 408


class LimitError(BriarrillError):
    """A limit of the contract is reached."""

    http_status = 429
    ran = Ran.NO


class RequestRateError(LimitError):
    """The contract's limit of requests per second is exceeded."""

    code = ResultCode.REQUEST_RATE


class TokenRateError(LimitError):
    """The contract's limit of tokens per second is exceeded."""

    code = ResultCode.TOKEN_RATE


class InFlightLimitError(LimitError):
    """The contract's limit of requests in flight is reached."""

    code = ResultCode.IN_FLIGHT


class BatchItemsLimitError(LimitError):
    """The batch job has more items than the contract allows."""

    code = ResultCode.BATCH_ITEMS


class CapacityError(BriarrillError):
    """The fleet cannot accept the request now."""

    http_status = 503
    ran = Ran.NO


class OverloadedError(CapacityError):
    """All queues that could accept the request are full."""

    code = ResultCode.OVERLOADED


class DrainingError(CapacityError):
    """The process is draining and accepts no new work."""

    code = ResultCode.DRAINING


class NoUpstreamError(CapacityError):
    """No upstream serves the model or service now."""

    code = ResultCode.NO_UPSTREAM


class UpstreamBusyError(OverloadedError):
    """The chosen upstream is at its request limit; others may take it."""


class UpstreamLeftError(NoUpstreamError):
    """The chosen upstream left before the request was sent to it."""


class DeadlineUnreachableError(CapacityError):
    """The request cannot finish before its deadline."""

    code = ResultCode.DEADLINE_UNREACHABLE


class StoreFullError(CapacityError):
    """A segment would exceed the size limit of the data folders."""

    code = ResultCode.STORE_FULL
    http_status = 507


class NotReadyError(CapacityError):
    """The process has no current configuration yet."""

    code = ResultCode.NOT_READY


class QuarantinedError(CapacityError):
    """A request is held back, since upstreams ended while they ran it."""


class PromptQuarantinedError(QuarantinedError):
    """Several upstreams ended while they ran a part of the prompt."""

    code = ResultCode.PROMPT_QUARANTINED


class RequestQuarantinedError(QuarantinedError):
    """Several upstreams ended while they ran the same request."""

    code = ResultCode.REQUEST_QUARANTINED


class ExecutionError(BriarrillError):
    """The request was sent to an upstream and did not succeed."""

    http_status = 502


class UpstreamFailedError(ExecutionError):
    """The upstream responded with an error."""

    code = ResultCode.UPSTREAM_FAILED
    ran = Ran.YES


class UpstreamRefusedError(UpstreamFailedError):
    """Its status says that the request did not run, but no mark does."""


class UpstreamLostError(ExecutionError):
    """The upstream or its sidecar was lost with the request in flight."""

    code = ResultCode.UPSTREAM_LOST


class UpstreamSilentError(UpstreamLostError):
    """No bytes came within the time after which a request is moved."""


class ResponseTooLargeError(UpstreamLostError):
    """The body of a response is larger than its limit."""


class DeadlineExceededError(ExecutionError):
    """The deadline passed while the request was in flight."""

    code = ResultCode.DEADLINE_EXCEEDED
    http_status = 504


class OutcomeUnknownError(ExecutionError):
    """A non-idempotent request was sent; whether it ran is unknown."""

    code = ResultCode.OUTCOME_UNKNOWN


class CancelledError(ExecutionError):
    """The request was cancelled by its caller."""

    code = ResultCode.CANCELLED
    http_status = 499


class SlowReaderError(ExecutionError):
    """The caller read its response too slowly."""

    code = ResultCode.SLOW_READER
    ran = Ran.YES


class DuplicateError(ExecutionError):
    """A request with this identifier was received before."""

    code = ResultCode.DUPLICATE
    http_status = 409


class FleetError(BriarrillError):
    """The platform or another process of the fleet failed."""

    http_status = 503


class PlatformUnavailableError(FleetError):
    """A platform service did not accept the call; nothing was written."""

    code = ResultCode.PLATFORM_UNAVAILABLE
    ran = Ran.NO


class WriteRefusedError(PlatformUnavailableError):
    """The key-value service refuses a write, however often it is repeated."""

    code = ResultCode.WRITE_REFUSED


class WriteUnknownError(FleetError):
    """The reply to a write was lost; whether it took effect is unknown."""

    code = ResultCode.WRITE_UNKNOWN


class VersionConflictError(FleetError):
    """Another writer changed the record first."""

    code = ResultCode.VERSION_CONFLICT
    http_status = 409
    ran = Ran.NO


class SpreadIncompleteError(FleetError):
    """The record was accepted but did not reach enough processes."""

    code = ResultCode.SPREAD_INCOMPLETE
    ran = Ran.YES


class PeerUnreachableError(FleetError):
    """A message could not be sent to a peer, or it did not reply in time."""

    code = ResultCode.PEER_UNREACHABLE
    ran = Ran.NO


class PeerBusyError(PeerUnreachableError):
    """The peer's queue is full; the message was not sent."""

    code = ResultCode.PEER_BUSY


class PeerSilentError(PeerUnreachableError):
    """A connection was neither accepted nor refused in time."""


class SegmentLostError(FleetError):
    """A segment is damaged, or none of its replicas could be read."""

    code = ResultCode.SEGMENT_LOST


class LeaseLostError(FleetError):
    """The lease of this process has expired."""

    code = ResultCode.LEASE_LOST
    ran = Ran.NO


class SettingsError(BriarrillError):
    """A settings file is invalid."""

    code = ResultCode.INVALID_SETTINGS
    ran = Ran.NO


class ConfigurationError(CallerError):
    """A configuration or contract is invalid."""

    code = ResultCode.INVALID_CONFIGURATION


class MalformedMessageError(BriarrillError):
    """Bytes that another writer made could not be decoded."""

    code = ResultCode.MALFORMED_MESSAGE
    ran = Ran.NO


def _classes_with_code(
    root: type[BriarrillError],
) -> list[type[BriarrillError]]:
    """Return the subclasses, at any depth, that define their own code."""
    classes = []
    for child in root.__subclasses__():
        if 'code' in child.__dict__:
            classes.append(child)
        classes.extend(_classes_with_code(child))
    return classes


#: Result code to exception class. Lookups default to :class:`InternalError`
#: for codes that have no class of their own.
ERRORS_BY_CODE = {cls.code: cls for cls in _classes_with_code(BriarrillError)}
