"""briarrill.platform.entry: an entry process on the platform."""

import random

import trio

from ..coordination.job_table import JobTable
from ..errors import SettingsError
from ..relay.drain import drain_front_end
from ..relay.forwarding import Forwarder
from ..relay.front import FrontEnd
from ..relay.job_calls import JobRequestHandler
from ..state.keys import ROOT
from ..transport.http_callers import serve_callers
from .configuration import OPERATOR_PREFIX
from .fleet import Fleet, follow_fleet, open_fleet, serve_ready, watch_signals
from .job_messages import PlatformJobWire
from .settings import PlatformInstance
from .upstreams import REGISTRATIONS_PREFIX
from .wire import PlatformWire

__all__ = ('run_entry',)


async def run_entry(cfg: PlatformInstance) -> None:
    """Run until a stop signal and the drain that follows it."""
    if cfg.callers is None or cfg.ready is None:
        raise SettingsError('an entry needs addresses for callers')
    async with open_fleet(cfg, runs_batch=False) as fleet:
        front = _make_front(fleet)
        async with (
            serve_ready(cfg.ready, fleet.readiness),
            follow_fleet(fleet),
            serve_callers(
                cfg.callers, lambda: fleet.holder.bounds, front.serve
            ),
            trio.open_nursery() as nursery,
        ):
            nursery.start_soon(watch_signals, fleet.readiness)
            nursery.start_soon(_become_ready, fleet)
            await fleet.readiness.drain.wait()
            await drain_front_end(front, cfg.grace_s)
            nursery.cancel_scope.cancel()


async def _become_ready(fleet: Fleet) -> None:
    """Take callers once the configuration and the upstreams are known.

    Jobs are not waited for: their calls say so while they are not known.
    """
    for prefix in (OPERATOR_PREFIX, REGISTRATIONS_PREFIX):
        await fleet.mirrors[prefix].synced.wait()
    while fleet.holder.routes is None:
        await fleet.holder.changed.wait()
    fleet.readiness.has_started = True


def _make_front(fleet: Fleet) -> FrontEnd:
    rng = random.Random()
    wire = PlatformWire()
    forwarder = Forwarder(
        wire, fleet.upstreams, fleet.load, fleet.cfg.failure_domain, rng
    )
    jobs = JobTable(fleet.store)
    fleet.own_keys.add('', jobs)
    job_calls = JobRequestHandler(
        fleet.writes,
        jobs,
        PlatformJobWire(),
        fleet.cfg.max_value_bytes,
        is_behind=lambda: fleet.mirrors[ROOT].is_behind,
    )
    return FrontEnd(
        wire=wire,
        routes=lambda: fleet.holder.routes,
        forwarder=forwarder,
        serve_job_request=job_calls.serve,
        readiness=fleet.readiness,
        rng=rng,
    )
