"""briarrill.platform.credentials: API keys of callers, names of customers.

A key is for this system alone: upstreams get the name of its customer, which
no caller can set.
"""

from collections.abc import Mapping

from ..coordination.customers.customer import Customer
from ..coordination.relay_protocol import Call
from ..coordination.routes import Route, RouteKind, RouteTable
from ..transport.http_messages import Headers, RequestHead, find_header

__all__ = (
    'AUTHORIZATION',
    'CALLER_CREDENTIALS',
    'authenticate',
    'authenticate_job_request',
    'customer_headers',
    'without_credentials',
)

AUTHORIZATION = b'authorization'
_CUSTOMER_NAME = b'briarrill-tenant'

#: Headers of a caller that are not passed on if there are customers.
CALLER_CREDENTIALS = frozenset((AUTHORIZATION, _CUSTOMER_NAME))

_KEY_SCHEME = b'bearer'

# character set of HTTP headers
_CHARSET = 'latin-1'


def authenticate(
    head: RequestHead, route: Route, routes: RouteTable
) -> Customer:
    """Return the customer of a request on a route.

    :raises UnauthenticatedError: the API key is missing or unknown.
    """
    return routes.customers.authenticate(
        _read_api_key(head), allows_anonymous=route.allows_anonymous
    )


def authenticate_job_request(
    head: RequestHead, host: str, routes: RouteTable
) -> Customer:
    """Return the customer of a request about a stored job.

    The route of the job may be gone, so that it needs no key if any batch
    route of the host needs none.

    :raises UnauthenticatedError: the API key is missing or unknown.
    """
    return routes.customers.authenticate(
        _read_api_key(head),
        allows_anonymous=any(
            route.allows_anonymous
            for route in routes.routes_of_host(host, RouteKind.BATCH)
        ),
    )


def customer_headers(call: Call) -> Headers:
    """Return the headers that name a call's customer to its upstream."""
    if not call.customer.name:
        return ()
    return ((_CUSTOMER_NAME, call.customer.name.encode(_CHARSET)),)


def without_credentials(headers: Mapping[str, str]) -> dict[str, str]:
    """Return an item's headers without those that name a customer."""
    return {
        name: text
        for name, text in headers.items()
        if name.lower().encode(_CHARSET) not in CALLER_CREDENTIALS
    }


def _read_api_key(head: RequestHead) -> str | None:
    """Return the key of a request, none without one."""
    credentials = find_header(head.headers, AUTHORIZATION) or b''
    scheme, _, key = credentials.partition(b' ')
    if scheme.lower() != _KEY_SCHEME:
        return None
    return key.strip().decode(_CHARSET) or None
