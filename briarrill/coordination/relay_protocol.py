"""briarrill.coordination.relay_protocol: interfaces of a protocol's adapters.

An adapter translates between the headers and bodies of a protocol and the
relay's own types; it makes no decisions about requests.
"""

import abc
import enum
from collections.abc import Callable, Sequence

import attrs

from ..errors import BriarrillError, NotFoundError
from ..state.stored_jobs import StoredItem, StoredResult
from ..transport.http_messages import Headers, RequestHead, ResponseHead
from .capacity.work import UNKNOWN_WORK, Work
from .customers.customer import ANONYMOUS, Customer
from .routes import Route, RouteTable
from .upstream_table import RegisteredUpstream

__all__ = (
    'Call',
    'Intent',
    'IntentKind',
    'IsJob',
    'JobProtocol',
    'RelayProtocol',
)


#: Tells by its identifier and host whether a job is known to be stored.
IsJob = Callable[[str, str], bool]


class IntentKind(enum.Enum):
    """Operation that a caller requests."""

    FORWARD = enum.auto()
    SUBMIT_JOB = enum.auto()
    READ_RESULTS = enum.auto()
    READ_ITEM = enum.auto()
    END_JOB = enum.auto()


_NO_ROUTES = RouteTable(0, ())


@attrs.frozen
class Intent:
    """The parsed head of a caller's request.

    :param request_id: the caller's identifier of this attempt.
    :param route: route in force, none for a request about a stored job, which
        outlives its route.
    :param time_left_s: time until the caller gives up, infinite if unknown.
    :param job_id: the requested job, empty for forwarded requests.
    :param item_id: the requested item, empty for none.
    :param position: position of the first result to read.
    :param wait_s: how long to wait for a first result.
    :param last_event_id: event after which the stream resumes.
    :param resumed_id: identifier of the attempt that began this stream, empty
        for none.
    :param routes: routes by which it was read.
    :param customer: whose key the request has.
    :param asks_for_keys: whether there are customers, who have keys.
    """

    kind: IntentKind
    request_id: str
    route: Route | None
    time_left_s: float
    job_id: str = ''
    item_id: str = ''
    position: int = 0
    wait_s: float = 0
    last_event_id: int | None = None
    resumed_id: str = ''
    routes: RouteTable = _NO_ROUTES
    customer: Customer = ANONYMOUS
    asks_for_keys: bool = False

    @property
    def config_version(self) -> int:
        """Return the version of the routes by which it was read."""
        return self.routes.version

    def require_route(self) -> Route:
        """Return the route.

        :raises NotFoundError: there is none.
        """
        if self.route is None:
            raise NotFoundError(
                f'no route in force for request {self.request_id!r}'
            )
        return self.route


@attrs.frozen
class Call:
    """A request that is forwarded to upstreams.

    :param service: service whose upstreams may run it.
    :param deadline_s: monotonic time by which a response is due.
    :param last_event_id: event after which the stream resumes.
    :param resumed_id: identifier of the attempt that began this stream, empty
        for none.
    :param prompt_parts: identifiers of the parts that its prompt shares with
        other requests, in order.
    :param request_key: the same for each attempt at one request of a caller;
        0 for items.
    :param customer: who sent it.
    :param work: that it brings.
    :param asks_for_keys: whether there are customers, who have keys; no
        credentials of the caller are passed on.
    """

    request_id: str
    route: Route
    service: str
    head: RequestHead
    body: bytes
    deadline_s: float
    last_event_id: int | None = None
    resumed_id: str = ''
    prompt_parts: tuple[str, ...] = ()
    request_key: int = 0
    customer: Customer = ANONYMOUS
    work: Work = UNKNOWN_WORK
    asks_for_keys: bool = False


class RelayProtocol(abc.ABC):
    """Parses and builds the heads of relayed messages."""

    @abc.abstractmethod
    def request_id(self, head: RequestHead) -> str:
        """Return the caller's identifier of an attempt, empty without one.

        Used in log lines of requests that are rejected before parsing.
        """

    @abc.abstractmethod
    def read_intent(
        self, head: RequestHead, routes: RouteTable, is_job: IsJob
    ) -> Intent:
        """Parse the head of a caller's request, and find its customer.

        A request about a stored job is recognized whatever has become of the
        job's route.

        :raises NotFoundError: no route matches.
        :raises BadRequestError: a header is missing or malformed.
        :raises UnauthenticatedError: the API key is missing or unknown.
        """

    @abc.abstractmethod
    def caller(self, head: RequestHead, customer: Customer = ANONYMOUS) -> str:
        """Return what identifies the caller of a request.

        All keys of a customer identify the same caller.
        """

    @abc.abstractmethod
    def prompt_parts(self, head: RequestHead) -> tuple[str, ...]:
        """Return identifiers of the prompt's shared parts, in order.

        A request without a prompt has none.
        """

    @abc.abstractmethod
    def work(self, head: RequestHead) -> Work:
        """Return the work that a request brings, as far as its head tells."""

    @abc.abstractmethod
    def upstream_request(
        self, call: Call, upstream: RegisteredUpstream, time_left_s: float
    ) -> RequestHead:
        """Build the request head for an upstream."""

    @abc.abstractmethod
    def item_head(self, host: str, stored: StoredItem) -> RequestHead:
        """Build the request head of a job's item as a single request.

        :param host: host of the job's route.
        """

    @abc.abstractmethod
    def echoed_id(self, head: ResponseHead) -> str | None:
        """Return the identifier of the call that a response names, if any."""

    @abc.abstractmethod
    def status_request(
        self, upstream: RegisteredUpstream
    ) -> RequestHead | None:
        """Build a request for an upstream's state.

        None if its registration does not tell processes apart.
        """

    @abc.abstractmethod
    def is_status_of(self, upstream: RegisteredUpstream, body: bytes) -> bool:
        """Tell whether a state is that of the process that registered.

        One that does not tell is.
        """

    @abc.abstractmethod
    def reports_not_executed(self, head: ResponseHead) -> bool:
        """Tell whether a response reports that the request was not run."""

    @abc.abstractmethod
    def promises_not_executed(self, head: ResponseHead) -> bool:
        """Tell whether its status tells a caller that its request never runs.

        An upstream that sends the status may have run it all the same.
        """

    @abc.abstractmethod
    def reports_leaving(self, head: ResponseHead) -> bool:
        """Tell whether a response announces that its upstream will stop."""

    @abc.abstractmethod
    def request_limit_per_s(self, head: ResponseHead) -> float | None:
        """Return the requests per second that an upstream takes from all.

        None if the response names no limit.

        :raises MalformedMessageError: it names one that cannot be read.
        """

    @abc.abstractmethod
    def response_headers(self, head: ResponseHead) -> Headers:
        """Build the caller's headers from those of an upstream's response."""

    @abc.abstractmethod
    def error_headers(self, exc: BriarrillError) -> Headers:
        """Build the headers of an error that the relay itself raised."""


class JobProtocol(abc.ABC):
    """Parses and builds the bodies of job requests and responses."""

    @abc.abstractmethod
    def read_items(
        self, body: bytes, *, keeps_credentials: bool = True
    ) -> tuple[StoredItem, ...]:
        """Parse the items of a submitted job.

        :param keeps_credentials: whether items may have headers with
            credentials or the name of a customer.
        :raises BadRequestError: the body is malformed; the message names the
            position of the error.
        """

    @abc.abstractmethod
    def results_body(
        self, total: int, position: int, page: Sequence[StoredResult]
    ) -> bytes:
        """Build the body of a response with results.

        :param total: number of items of the job.
        :param position: position of the first result.
        """
