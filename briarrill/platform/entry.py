"""briarrill.platform.entry: runs an entry process on the platform."""

import random

import trio

from ..coordination.latest_results import LatestResults
from ..coordination.suspect_probes import SuspectProber
from ..errors import SettingsError
from ..relay.customer_limits import CustomerLimits
from ..relay.drain import drain_front_end
from ..relay.forwarding import Forwarder
from ..relay.front_end import FrontEnd
from ..relay.job_calls import JobRequestHandler
from ..state.keys import ROOT_PREFIX
from ..transport.http_callers import serve_callers
from .caller_bounds import Listener
from .configuration import OPERATOR_PREFIX
from .job_messages import PlatformJobProtocol
from .process_parts import (
    ProcessParts,
    open_parts,
    run_background_tasks,
    watch_signals,
)
from .ready_checks import serve_ready
from .relay_protocol import PlatformRelayProtocol
from .settings import PlatformInstance
from .upstreams import REGISTRATIONS_PREFIX

__all__ = ('run_entry',)


async def run_entry(cfg: PlatformInstance) -> None:
    """Serve callers until a stop signal, then drain.

    :raises SettingsError: an address for callers or for readiness is missing.
    """
    if cfg.callers is None or cfg.ready is None:
        raise SettingsError(
            'an entry needs listen_addrs.front_http and listen_addrs.ready'
        )
    async with open_parts(cfg, runs_batch=False) as parts:
        limits = CustomerLimits(parts.load.messages.lender)
        front = _make_front(parts, limits)
        async with (
            serve_ready(
                cfg.ready, parts.readiness, parts.bounds.of(Listener.CHECKS)
            ),
            run_background_tasks(parts),
            serve_callers(
                cfg.callers,
                lambda: parts.routing_configuration.caller_limits,
                front.serve,
                parts.bounds.of(Listener.CALLERS),
            ) as stop_accepting,
            trio.open_nursery() as nursery,
        ):
            nursery.start_soon(watch_signals, parts.readiness)
            nursery.start_soon(_start_when_synced, parts)
            nursery.start_soon(_make_prober(parts).run)
            nursery.start_soon(limits.run)
            await parts.readiness.drain_begun.wait()
            await drain_front_end(front, cfg.grace_s, stop_accepting)
            nursery.cancel_scope.cancel()


async def _start_when_synced(parts: ProcessParts) -> None:
    """Mark the process as started once it can forward requests.

    That needs the configuration and the upstreams but no jobs: requests
    about jobs fail with their own errors until the jobs are known.
    """
    for prefix in (OPERATOR_PREFIX, REGISTRATIONS_PREFIX):
        await parts.mirrors[prefix].synced.wait()
    while parts.routing_configuration.routes is None:
        await parts.routing_configuration.changed.wait()
    parts.readiness.has_started = True


def _make_prober(parts: ProcessParts) -> SuspectProber:
    """Create what asks suspected upstreams to reply."""
    return SuspectProber(
        PlatformRelayProtocol(),
        parts.upstreams,
        parts.load.silence,
        parts.load.schedule_report,
    )


def _make_front(parts: ProcessParts, limits: CustomerLimits) -> FrontEnd:
    """Create the front end, the forwarder and the job request handler."""
    rng = random.Random()
    protocol = PlatformRelayProtocol()
    forwarder = Forwarder(
        protocol,
        parts.upstreams,
        parts.load,
        parts.ends,
        parts.cfg.failure_domain,
        rng,
    )
    forwarder.start_order.routes = lambda: parts.routing_configuration.routes
    counts = parts.make_job_table()
    mirror = parts.mirrors[ROOT_PREFIX]
    latest = LatestResults(parts.store, counts.jobs, lambda: mirror.position)
    job_handler = JobRequestHandler(
        parts.writes,
        counts.jobs,
        PlatformJobProtocol(),
        parts.cfg.max_value_bytes,
        is_behind=lambda: mirror.is_behind,
        has_latest_results=latest.confirm,
        count_tokens=counts.count,
    )
    return FrontEnd(
        protocol=protocol,
        routes=lambda: parts.routing_configuration.routes,
        forwarder=forwarder,
        serve_job_request=job_handler.serve,
        is_job=counts.jobs.is_job_of_host,
        is_behind=lambda: (
            mirror.is_behind or parts.mirrors[OPERATOR_PREFIX].is_behind
        ),
        readiness=parts.readiness,
        rng=rng,
        customer_limits=limits,
    )
