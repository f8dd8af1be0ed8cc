"""A front end with stand-in upstreams on loopback ports."""

import contextlib
import random
from collections.abc import Callable

import attrs
import trio

from briarrill.coordination.load_exchange import LoadExchange
from briarrill.coordination.prompt_crashes import PromptQuarantine
from briarrill.coordination.routes import (
    Route,
    RouteKind,
    RouteTable,
    Target,
)
from briarrill.coordination.start_delays import StartDelays
from briarrill.coordination.upstream_ends import UpstreamEnds
from briarrill.coordination.upstream_table import (
    RegisteredUpstream,
    UpstreamTable,
)
from briarrill.platform.relay_protocol import PlatformRelayProtocol
from briarrill.readiness import Readiness
from briarrill.relay.forwarding import Forwarder
from briarrill.relay.front_end import FrontEnd
from briarrill.transport.http_callers import CallerLimits, serve_callers
from briarrill.transport.http_channel import connect
from briarrill.transport.http_messages import RequestHead
from tests.serving import free_port, serve_standin

ROUTE_HOST = b'h.example'

FIXED_PORT = 8080


def route(kind, **fields):
    """Return a route whose name and prefix are its kind."""
    return Route(
        name=kind.value,
        host=ROUTE_HOST.decode(),
        prefix=f'/{kind.value}/',
        kind=kind,
        targets=(Target('llm'),),
        timeout_s=fields.pop('timeout_s', 5),
        latency_objective_s=fields.pop('latency_objective_s', 0.3),
        **fields,
    )


@attrs.define
class FrontEndSetup:
    """The front end, its upstreams and their load."""

    front: FrontEnd
    address: tuple
    upstreams: UpstreamTable
    load: LoadExchange
    ends: UpstreamEnds
    stop_accepting: Callable[[], None]

    async def send_request(self, path, body=b'', **headers):
        """Send one request; return status, headers and body."""
        async with self.open_response(path, body, **headers) as opened:
            head, channel = opened
            response_body = await channel.read_full_body(10_000_000)
        return head.status, dict(head.headers), response_body

    @contextlib.asynccontextmanager
    async def open_response(self, path, body=b'', **headers):
        """Send one request; yield the response's head and its channel."""
        named = {'attempt_id': 'r1', 'deadline_ms': '3000', **headers}
        fields = [(b'host', ROUTE_HOST)]
        for name, text in named.items():
            is_standard = name in {'last_event_id', 'resumes'}
            prefix = '' if is_standard else 'briarrill-'
            field = f'{prefix}{name}'.replace('_', '-')
            fields.append((field.encode(), text.encode()))
        fields.append((b'content-length', str(len(body)).encode()))
        head = RequestHead(b'POST', path.encode(), tuple(fields))
        channel = await connect(self.address, 1)
        try:
            async with channel.exchange(head, body):
                yield await channel.read_head(), channel
        finally:
            channel.close()


async def _no_jobs(intent, body, conn):
    raise AssertionError('unexpected job request')


def _address(network, number):
    """Return a fixed address of a network, or a free port without one."""
    if network is None:
        return '127.0.0.1', free_port()
    return f'{network}.{number + 1}', FIXED_PORT


@contextlib.asynccontextmanager
async def run_front_end(routes, *engines, network=None):
    """Serve engines behind a front end, the first with the least load.

    :param network: loopback /24 prefix whose addresses are used with a fixed
        port; free ports of one address without one.
    """
    upstreams = UpstreamTable(lambda: True)
    load = LoadExchange('me', '127.0.0.1', 0, (), lambda report: report)
    # a pause of the test process would make an upstream count as late
    load.delays = StartDelays(clock=float)
    protocol = PlatformRelayProtocol()
    ends = UpstreamEnds(upstreams, PromptQuarantine(), load.schedule_report)
    forwarder = Forwarder(
        protocol, upstreams, load, ends, 'a', random.Random(1)
    )
    table = RouteTable(1, tuple(routes))
    front = FrontEnd(
        protocol=protocol,
        routes=lambda: table,
        forwarder=forwarder,
        serve_job_request=_no_jobs,
        is_job=lambda job_id, host: False,
        is_behind=bool,
        readiness=Readiness(),
        rng=random.Random(1),
    )
    async with contextlib.AsyncExitStack() as stack:
        for number, engine in enumerate(engines):
            address = await stack.enter_async_context(
                serve_standin(engine, _address(network, number + 1))
            )
            if number:
                load.in_flight.online[f'i-{number}'] = number
            upstreams.register(
                RegisteredUpstream(
                    upstream_id=f'i-{number}',
                    service='llm',
                    address=address,
                    failure_domain='a',
                    slots=20,
                    incarnation=f'i-{number}',
                )
            )
        address = _address(network, 0)
        stop_accepting = await stack.enter_async_context(
            serve_callers(address, CallerLimits, front.serve)
        )
        nursery = await stack.enter_async_context(trio.open_nursery())
        nursery.start_soon(ends.run)
        with trio.fail_after(20):
            yield FrontEndSetup(
                front, address, upstreams, load, ends, stop_accepting
            )
        nursery.cancel_scope.cancel()


STREAM = route(RouteKind.STREAMING, max_attempts=1)
RESUMABLE_STREAM = route(RouteKind.STREAMING, max_attempts=2, resumable=True)
IDEMPOTENT = route(RouteKind.IDEMPOTENT, max_attempts=2)
NON_IDEMPOTENT = route(RouteKind.NON_IDEMPOTENT, max_attempts=3)
