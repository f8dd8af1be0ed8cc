"""briarrill.result_codes: the numbered outcomes of requests and commands.

``docs/result-codes.md`` holds the table for callers and operators.
"""

import enum

__all__ = ('Ran', 'ResultCode')


class Ran(enum.StrEnum):
    """Whether a request began to execute at its upstream."""

    NO = 'no'
    YES = 'yes'
    UNKNOWN = 'unknown'


class ResultCode(enum.IntEnum):
    """Numbered outcome of a request, a job or a command."""

    OK = 0

    # invalid request
    BAD_REQUEST = 100
    INVALID_LINES = 101
    UNAUTHENTICATED = 110
    FORBIDDEN = 111
    NOT_FOUND = 120
    CONFLICT = 121
    TOO_LARGE = 130
    HEADERS_TOO_LARGE = 131
    BODY_TIMEOUT = 132

    # limits of the contract
    REQUEST_RATE = 200
    TOKEN_RATE = 201
    IN_FLIGHT = 202
    BATCH_ITEMS = 203

    # capacity of the fleet
    OVERLOADED = 300
    DRAINING = 301
    NO_UPSTREAM = 302
    DEADLINE_UNREACHABLE = 303
    STORE_FULL = 304
    NOT_READY = 305
    PROMPT_QUARANTINED = 306
    REQUEST_QUARANTINED = 307

    # execution at an upstream
    UPSTREAM_FAILED = 400
    UPSTREAM_LOST = 401
    DEADLINE_EXCEEDED = 402
    OUTCOME_UNKNOWN = 403
    CANCELLED = 404
    SLOW_READER = 405
    DUPLICATE = 406

    # the platform and the fleet
    PLATFORM_UNAVAILABLE = 500
    WRITE_UNKNOWN = 501
    VERSION_CONFLICT = 502
    SPREAD_INCOMPLETE = 503
    PEER_UNREACHABLE = 504
    SEGMENT_LOST = 505
    LEASE_LOST = 506
    PEER_BUSY = 507
    WRITE_REFUSED = 508

    # settings, configuration and messages between processes
    INVALID_SETTINGS = 600
    INVALID_CONFIGURATION = 601
    MALFORMED_MESSAGE = 602

    INTERNAL = 900
