"""briarrill.platform.relay_protocol: reads and writes heads of messages."""

import math
from urllib.parse import parse_qs, unquote

import attrs

from ..coordination.capacity.work import Work
from ..coordination.customers.customer import ANONYMOUS, Customer
from ..coordination.relay_protocol import (
    Call,
    Intent,
    IntentKind,
    IsJob,
    RelayProtocol,
)
from ..coordination.routes import RouteKind, RouteTable
from ..coordination.upstream_table import RegisteredUpstream
from ..decoding import find_whole_number, json_decoder
from ..errors import (
    BadRequestError,
    BriarrillError,
    MalformedMessageError,
    NotFoundError,
)
from ..state.stored_jobs import StoredItem
from ..transport.http_messages import (
    Headers,
    RequestHead,
    ResponseHead,
    end_to_end_headers,
    find_header,
)
from .credentials import (
    AUTHORIZATION,
    CALLER_CREDENTIALS,
    authenticate,
    authenticate_job_request,
    customer_headers,
)
from .prompt_headers import read_shared_parts, read_work

__all__ = ('PlatformRelayProtocol',)

_ATTEMPT_ID = b'briarrill-attempt-id'
_DEADLINE_MS = b'briarrill-deadline-ms'
_EXPECT_INSTANCE = b'briarrill-expect-instance'
_NOT_EXECUTED = b'briarrill-not-executed'
_SERVER_LEAVING = b'server-leaving'
_SERVER_LIMIT = b'server-limit'
_WAIT_MS = b'briarrill-wait-ms'
_LAST_EVENT_ID = b'last-event-id'
_RESUMES = b'resumes'
_CONTENT_LENGTH = b'content-length'
_HOST = b'host'
_TRANSFER_ENCODING = b'transfer-encoding'

_REPORT_TARGET = b'/report'
_JOBS_PATH = '/lots/'
_ITEMS_PATH = '/items/'

# character set of HTTP headers and targets
_CHARSET = 'latin-1'

_HTTP_MISDIRECTED = 421

# statuses that promise a caller that its request has not run and never will
_PROMISING_STATUSES = frozenset((408, _HTTP_MISDIRECTED, 429, 503))

_MS_PER_S = 1000

# upper limit of the wait for a first result that a caller requests
_MAX_RESULT_WAIT_MS = 1000

# headers that the relay sets itself
_HEADERS_SET_BY_RELAY = frozenset(
    (_DEADLINE_MS, _EXPECT_INSTANCE, _CONTENT_LENGTH, _LAST_EVENT_ID)
)
_NO_HEADERS: frozenset[bytes] = frozenset()


@attrs.frozen
class _Report:
    """What an upstream says of itself.

    :param born: start of its process, Unix milliseconds.
    """

    born: int = 0


_REPORT_DECODER = json_decoder(_Report)


class PlatformRelayProtocol(RelayProtocol):
    """Reads and writes message heads with the platform's headers."""

    def request_id(self, head: RequestHead) -> str:
        """Return the caller's attempt ID, empty if the header is missing."""
        attempt_id = find_header(head.headers, _ATTEMPT_ID)
        return '' if attempt_id is None else attempt_id.decode(_CHARSET)

    def read_intent(
        self, head: RequestHead, routes: RouteTable, is_job: IsJob
    ) -> Intent:
        """Return the operation and parameters of a request.

        :raises NotFoundError: no route or operation matches.
        :raises BadRequestError: a header or parameter is missing or invalid.
        :raises UnauthenticatedError: the API key is missing or unknown.
        """
        host = _required_header(head, _HOST)
        asks_for_keys = routes.customers.asks_for_keys
        job_request = _read_job_request(head, host, routes, is_job)
        if job_request is not None:
            return attrs.evolve(
                job_request,
                customer=authenticate_job_request(head, host, routes),
                asks_for_keys=asks_for_keys,
            )
        route = routes.find(host, head.path)
        customer = authenticate(head, route, routes)
        request_id = _required_header(head, _ATTEMPT_ID)
        kind, job_id = IntentKind.FORWARD, ''
        if route.kind is RouteKind.BATCH:
            if head.method != b'POST':
                raise NotFoundError(
                    f'method {head.method!r} is not allowed for {head.path}'
                )
            kind, job_id = IntentKind.SUBMIT_JOB, request_id
        return Intent(
            kind=kind,
            request_id=request_id,
            route=route,
            time_left_s=_numeric_header(head, _DEADLINE_MS, math.inf)
            / _MS_PER_S,
            job_id=job_id,
            last_event_id=_last_event_id(head),
            resumed_id=_resumed_id(head),
            routes=routes,
            customer=customer,
            asks_for_keys=asks_for_keys,
        )

    def caller(self, head: RequestHead, customer: Customer = ANONYMOUS) -> str:
        """Return the host, and the customer's name or credentials, if any.

        Without customers in the configuration, each has hosts of its own.
        """
        host = find_header(head.headers, _HOST) or b''
        identity = customer.name.encode(_CHARSET) or (
            find_header(head.headers, AUTHORIZATION) or b''
        )
        return b'\n'.join((host.lower(), identity)).decode(_CHARSET)

    def prompt_parts(self, head: RequestHead) -> tuple[str, ...]:
        """Return the IDs of the prompt's parts but the last, in order."""
        return read_shared_parts(head)

    def work(self, head: RequestHead) -> Work:
        """Return the tokens that a request names, and its prompt's parts."""
        return read_work(head)

    def upstream_request(
        self, call: Call, upstream: RegisteredUpstream, time_left_s: float
    ) -> RequestHead:
        """Return the request head for an upstream.

        End-to-end headers are kept; the relay sets deadline, expected
        instance, last event and length itself. If there are customers, it
        sets the name of the customer in place of the caller's credentials.
        """
        dropped = _HEADERS_SET_BY_RELAY
        if call.asks_for_keys:
            dropped |= CALLER_CREDENTIALS
        headers = list(end_to_end_headers(call.head.headers, dropped))
        headers.extend(customer_headers(call))
        if math.isfinite(time_left_s):
            time_left_ms = max(1, int(time_left_s * _MS_PER_S))
            headers.append((_DEADLINE_MS, str(time_left_ms).encode()))
        headers.append((_EXPECT_INSTANCE, upstream.upstream_id.encode()))
        if call.last_event_id is not None:
            last = str(call.last_event_id).encode()
            headers.append((_LAST_EVENT_ID, last))
        if call.body or _has_body(call.head):
            length = str(len(call.body)).encode()
            headers.append((_CONTENT_LENGTH, length))
        return RequestHead(call.head.method, call.head.target, tuple(headers))

    def item_head(self, host: str, stored: StoredItem) -> RequestHead:
        """Return the head of a job's item as a single request."""
        submitted = [
            (name.lower().encode(_CHARSET), text.encode(_CHARSET))
            for name, text in stored.headers.items()
        ]
        own_headers = [
            (b'host', host.encode(_CHARSET)),
            (_ATTEMPT_ID, stored.item_id.encode(_CHARSET)),
            (_CONTENT_LENGTH, str(len(stored.body)).encode()),
        ]
        own_names = {name for name, _ in own_headers}
        other_headers = [
            pair for pair in submitted if pair[0] not in own_names
        ]
        target = stored.path.encode(_CHARSET)
        return RequestHead(b'POST', target, (*own_headers, *other_headers))

    def echoed_id(self, head: ResponseHead) -> str | None:
        """Return a response's attempt ID, if it has one."""
        echoed = find_header(head.headers, _ATTEMPT_ID)
        return None if echoed is None else echoed.decode(_CHARSET)

    def status_request(
        self, upstream: RegisteredUpstream
    ) -> RequestHead | None:
        """Return a request for an upstream's report.

        None if its registration does not name its start.
        """
        if _registered_start(upstream) is None:
            return None
        host, port = upstream.address
        headers = ((_HOST, f'{host}:{port}'.encode()),)
        return RequestHead(b'GET', _REPORT_TARGET, headers)

    def is_status_of(self, upstream: RegisteredUpstream, body: bytes) -> bool:
        """Tell whether a report names the start of the registered process.

        One that names none does.
        """
        try:
            born = _REPORT_DECODER.decode(body).born
        except MalformedMessageError:
            return True
        return born in {0, _registered_start(upstream)}

    def reports_not_executed(self, head: ResponseHead) -> bool:
        """Whether the response states that the request was not executed."""
        if head.status == _HTTP_MISDIRECTED:
            return True
        return find_header(head.headers, _NOT_EXECUTED) is not None

    def promises_not_executed(self, head: ResponseHead) -> bool:
        """Whether the status promises callers that nothing was executed."""
        return head.status in _PROMISING_STATUSES

    def reports_leaving(self, head: ResponseHead) -> bool:
        """Whether the response announces the departure of its upstream."""
        return find_header(head.headers, _SERVER_LEAVING) is not None

    def request_limit_per_s(self, head: ResponseHead) -> float | None:
        """Return the requests per second that the upstream takes, if named.

        :raises MalformedMessageError: the header holds no such number.
        """
        raw = find_header(head.headers, _SERVER_LIMIT)
        if raw is None:
            return None
        try:
            limit_per_s = float(raw)
        except ValueError as exc:
            raise MalformedMessageError(f'limit {raw!r}') from exc
        if not math.isfinite(limit_per_s) or limit_per_s < 0:
            raise MalformedMessageError(f'limit {raw!r}')
        return limit_per_s

    def response_headers(self, head: ResponseHead) -> Headers:
        """Return the end-to-end headers of an upstream's response."""
        return end_to_end_headers(head.headers, _NO_HEADERS)

    def error_headers(self, exc: BriarrillError) -> Headers:
        """Return the headers of an error response of the relay itself."""
        headers: Headers = ((b'content-type', b'text/plain'),)
        if exc.retry_after_s:
            seconds = f'{exc.retry_after_s:.3f}'.encode()
            headers = (*headers, (b'retry-after', seconds))
        return headers


def _registered_start(upstream: RegisteredUpstream) -> int | None:
    """Return the start that a registration names, Unix milliseconds."""
    start = upstream.incarnation.rpartition('/')[2]
    return int(start) if start.isdigit() and int(start) else None


def _read_job_request(
    head: RequestHead, host: str, routes: RouteTable, is_job: IsJob
) -> Intent | None:
    """Read a request about a job that may be stored, else return nothing.

    What is stored outlives its route, so it is recognized by the job. A job
    that this process does not know may be stored too, if the host has jobs
    or no online route takes the request, which needs an identifier.

    :raises NotFoundError: the method is not allowed.
    :raises BadRequestError: a parameter is invalid.
    """
    request_id = find_header(head.headers, _ATTEMPT_ID)
    for prefix, read in (
        (_JOBS_PATH, _read_results_request),
        (_ITEMS_PATH, _read_item_request),
    ):
        if not head.path.startswith(prefix):
            continue
        job_id = unquote(head.path.removeprefix(prefix))
        if (
            request_id is None
            or is_job(job_id, host)
            or routes.routes_of_host(host, RouteKind.BATCH)
            or routes.match(host, head.path) is None
        ):
            return read(head, job_id)
    if head.method != b'POST' or request_id is None:
        return None
    job_id = request_id.decode(_CHARSET)
    if not is_job(job_id, host):
        return None
    return _make_job_intent(IntentKind.SUBMIT_JOB, head, job_id)


def _read_results_request(head: RequestHead, job_id: str) -> Intent:
    """Read a request to end a job or to read its results.

    :raises NotFoundError: the method is another one.
    :raises BadRequestError: the position is no whole number.
    """
    query = _query(head)
    if head.method == b'DELETE':
        return _make_job_intent(IntentKind.END_JOB, head, job_id)
    if head.method != b'GET':
        raise NotFoundError(f'method {head.method!r} is not allowed for jobs')
    after = query.get('after', '0')
    position = find_whole_number(after.encode())
    if position is None:
        raise BadRequestError(
            f'query parameter "after" must be a whole number, not {after!r}'
        )
    return _make_job_intent(
        IntentKind.READ_RESULTS, head, job_id, position=position
    )


def _read_item_request(head: RequestHead, job_id: str) -> Intent:
    """Read a request for the body of an item.

    :raises NotFoundError: the method is not GET.
    """
    if head.method != b'GET':
        raise NotFoundError(f'method {head.method!r} is not allowed for items')
    return _make_job_intent(
        IntentKind.READ_ITEM,
        head,
        job_id,
        item_id=_query(head).get('id', ''),
    )


def _make_job_intent(
    kind: IntentKind,
    head: RequestHead,
    job_id: str,
    *,
    item_id: str = '',
    position: int = 0,
) -> Intent:
    attempt_id = find_header(head.headers, _ATTEMPT_ID) or b''
    wait_ms = min(_MAX_RESULT_WAIT_MS, _numeric_header(head, _WAIT_MS, 0))
    return Intent(
        kind=kind,
        request_id=attempt_id.decode(_CHARSET),
        route=None,
        time_left_s=_numeric_header(head, _DEADLINE_MS, math.inf) / _MS_PER_S,
        job_id=job_id,
        item_id=item_id,
        position=position,
        wait_s=wait_ms / _MS_PER_S,
    )


def _query(head: RequestHead) -> dict[str, str]:
    """Return the first value of each query parameter."""
    text = head.target.partition(b'?')[2].decode(_CHARSET)
    return {name: texts[0] for name, texts in parse_qs(text).items()}


def _required_header(head: RequestHead, name: bytes) -> str:
    """Return a header's text.

    :raises BadRequestError: the header is missing.
    """
    raw = find_header(head.headers, name)
    if raw is None:
        raise BadRequestError(f'the header {name.decode()} is missing')
    return raw.decode(_CHARSET)


def _numeric_header(head: RequestHead, name: bytes, default: float) -> float:
    """Return a header as a number of at least 0.

    :raises BadRequestError: the header is no number.
    """
    raw = find_header(head.headers, name)
    if raw is None:
        return default
    try:
        return max(0, float(raw))
    except ValueError as exc:
        raise BadRequestError(
            f'header {name.decode()} must be a number, not {raw!r}'
        ) from exc


def _last_event_id(head: RequestHead) -> int | None:
    """Return the last event ID that the caller received, if any.

    :raises BadRequestError: the header is no whole number.
    """
    raw = find_header(head.headers, _LAST_EVENT_ID)
    if raw is None:
        return None
    number = find_whole_number(raw)
    if number is None:
        raise BadRequestError(
            f'header Last-Event-Id must be a whole number, not {raw!r}'
        )
    return number


def _resumed_id(head: RequestHead) -> str:
    """Return the ID of the attempt that began a stream, empty for none."""
    raw = find_header(head.headers, _RESUMES)
    return '' if raw is None else raw.decode(_CHARSET)


def _has_body(head: RequestHead) -> bool:
    """Whether the headers announce a body, possibly empty."""
    return any(
        name in {_CONTENT_LENGTH, _TRANSFER_ENCODING}
        for name, _ in head.headers
    )
