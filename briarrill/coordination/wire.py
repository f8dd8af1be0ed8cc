"""briarrill.coordination.wire: what relays ask of a protocol.

An adapter names the headers and fields; others decide.
"""

import abc
import enum
from collections.abc import Sequence

import attrs

from ..errors import BriarrillError
from ..state.stored_jobs import StoredItem, StoredResult
from ..transport.http_messages import AnswerHead, Headers, RequestHead
from .routes import Route, RouteTable
from .upstream_table import RegisteredUpstream

__all__ = ('Call', 'Intent', 'IntentKind', 'JobWire', 'RelayWire')


class IntentKind(enum.Enum):
    """What a caller asks for."""

    FORWARD = enum.auto()
    SUBMIT_JOB = enum.auto()
    READ_RESULTS = enum.auto()
    READ_ITEM = enum.auto()
    END_JOB = enum.auto()


@attrs.frozen
class Intent:
    """A request as the front understood it.

    :param request_id: the caller's identifier of this attempt.
    :param time_left_s: how long the caller waits; infinite if it says not.
    :param job_id: the job that it concerns, empty for forwarded requests.
    :param item_id: the item that it concerns, if any.
    :param position: first result to read.
    :param wait_s: how long to wait for a first result.
    :param last_event_id: event after which a stream is to go on.
    """

    kind: IntentKind
    request_id: str
    route: Route
    time_left_s: float
    job_id: str = ''
    item_id: str = ''
    position: int = 0
    wait_s: float = 0
    last_event_id: int | None = None


@attrs.frozen
class Call:
    """A request on its way to upstreams.

    :param service: the service that may run it.
    :param deadline_s: monotonic time at which it must have been answered.
    :param last_event_id: event after which the stream goes on.
    """

    request_id: str
    route: Route
    service: str
    head: RequestHead
    body: bytes
    deadline_s: float
    last_event_id: int | None = None


class RelayWire(abc.ABC):
    """Reads and writes the heads of relayed messages."""

    @abc.abstractmethod
    def request_id(self, head: RequestHead) -> str:
        """Return the caller's identifier of an attempt, empty if it has none.

        For the log lines of requests that are refused unread.
        """

    @abc.abstractmethod
    def read_intent(self, head: RequestHead, routes: RouteTable) -> Intent:
        """Return what a caller asks for.

        :raises NotFoundError: no route matches.
        :raises BadRequestError: a header is missing or damaged.
        """

    @abc.abstractmethod
    def upstream_request(
        self, call: Call, upstream: RegisteredUpstream, time_left_s: float
    ) -> RequestHead:
        """Return the head that is sent to an upstream."""

    @abc.abstractmethod
    def item_head(self, host: str, stored: StoredItem) -> RequestHead:
        """Return the head with which a job's item would have come alone."""

    @abc.abstractmethod
    def is_own_answer(self, call: Call, head: AnswerHead) -> bool:
        """Tell the answer to a call from a late one to another call."""

    @abc.abstractmethod
    def says_not_run(self, head: AnswerHead) -> bool:
        """Tell whether the upstream says that it did not run the request."""

    @abc.abstractmethod
    def answer_headers(self, head: AnswerHead) -> Headers:
        """Return the headers of an upstream's answer for the caller."""

    @abc.abstractmethod
    def error_headers(self, exc: BriarrillError) -> Headers:
        """Return the headers of an error of the relay's own."""


class JobWire(abc.ABC):
    """Reads and writes the bodies of job calls."""

    @abc.abstractmethod
    def read_items(self, body: bytes) -> tuple[StoredItem, ...]:
        """Return the items of a job that is handed in.

        :raises BadRequestError: names the place of the mistake.
        """

    @abc.abstractmethod
    def results_body(
        self, total: int, position: int, found: Sequence[StoredResult]
    ) -> bytes:
        """Return the body of an answer with results.

        :param position: position of the first result.
        """
