"""briarrill.platform.fleet: what every process on the platform has."""

import contextlib
import signal
from collections.abc import AsyncIterator

import attrs
import trio
from eliot import log_message
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from ..coordination.hedged_writes import WRITE_PATH, HedgedWrites
from ..coordination.load_exchange import LoadExchange
from ..coordination.mirror import Mirror, MirrorUser
from ..coordination.registration import hold_registration
from ..coordination.state_transfer import Offer, StateTransfer
from ..coordination.upstream_table import RETURN_GRACE_S, UpstreamTable
from ..protocol.load_reports import LoadReport
from ..readiness import Readiness
from ..state.keys import MEMBERS, ROOT, member_key
from ..transport.http_callers import (
    CallerBounds,
    CallerConnection,
    serve_callers,
)
from .configuration import (
    OPERATOR_PREFIX,
    ConfigurationHolder,
)
from .settings import PlatformInstance
from .store import PlatformStore
from .upstreams import REGISTRATIONS_PREFIX, Registrations

__all__ = ('Fleet', 'KeyRouter', 'open_fleet', 'serve_ready', 'watch_signals')

# shortest time between two reads of changes of jobs and results; a result is
# read about twice a second
JOBS_PACE_S = 0.3

_HTTP_OK = 200
_HTTP_UNAVAILABLE = 503


class KeyRouter(MirrorUser):
    """Passes keys on by their prefix; others concern somebody else."""

    def __init__(self) -> None:
        """Start without users."""
        self._users: dict[str, MirrorUser] = {}

    def add(self, prefix: str, user: MirrorUser) -> None:
        """Pass keys with this prefix to a user."""
        self._users[prefix] = user

    def take_key(self, key: str, body: bytes | None) -> None:
        """Pass a key on."""
        for prefix, user in self._users.items():
            if key.startswith(prefix):
                user.take_key(key, body)


class _Members(MirrorUser):
    """Tells the exchange of registered processes."""

    def __init__(self, load: LoadExchange) -> None:
        self._load = load

    def take_key(self, key: str, body: bytes | None) -> None:
        host = None if body is None else body.decode()
        self._load.set_member(key.removeprefix(MEMBERS), host)


@attrs.define
class Fleet:
    """The parts that the programs of the platform share."""

    cfg: PlatformInstance
    store: PlatformStore
    load: LoadExchange
    holder: ConfigurationHolder
    upstreams: UpstreamTable
    readiness: Readiness
    mirrors: dict[str, Mirror]
    operator_keys: KeyRouter
    own_keys: KeyRouter
    runs_batch: bool
    writes: HedgedWrites
    offers: dict[str, Offer] = attrs.field(factory=dict)

    def describe(self, report: LoadReport) -> LoadReport:
        """Add to a report what this process knows."""
        return attrs.evolve(
            report,
            runs_batch=self.runs_batch,
            is_leaving=self.readiness.is_draining,
            revisions={
                prefix: mirror.revision
                for prefix, mirror in self.mirrors.items()
            },
            connected=tuple(
                prefix
                for prefix, mirror in self.mirrors.items()
                if mirror.is_connected
            ),
        )

    def hear_report(self, report: LoadReport) -> None:
        """Tell the mirrors how far a peer has come."""
        for prefix in report.connected:
            mirror = self.mirrors.get(prefix)
            if mirror is not None:
                mirror.hear_revision(report.revisions.get(prefix, 0))


def _make_fleet(cfg: PlatformInstance, *, runs_batch: bool) -> Fleet:
    store = PlatformStore(cfg.store)
    own_keys = KeyRouter()
    operator_keys = KeyRouter()
    mirrors: dict[str, Mirror] = {}

    def is_settled() -> bool:
        return mirrors[REGISTRATIONS_PREFIX].is_settled(RETURN_GRACE_S)

    upstreams = UpstreamTable(is_settled)
    mirrors[OPERATOR_PREFIX] = Mirror(
        store, OPERATOR_PREFIX, operator_keys, keeps_bodies=True
    )
    mirrors[REGISTRATIONS_PREFIX] = Mirror(
        store,
        REGISTRATIONS_PREFIX,
        Registrations(upstreams),
        keeps_bodies=True,
    )
    mirrors[ROOT] = Mirror(
        store, ROOT, own_keys, JOBS_PACE_S, keeps_bodies=True
    )
    fleet: Fleet
    load = LoadExchange(
        process=cfg.name,
        host=cfg.host,
        port=cfg.peer_port,
        seeds=cfg.seeds,
        describe=lambda report: fleet.describe(report),
    )
    holder = ConfigurationHolder(load.report_soon)
    operator_keys.add(OPERATOR_PREFIX, holder)
    own_keys.add(MEMBERS, _Members(load))
    fleet = Fleet(
        cfg=cfg,
        store=store,
        load=load,
        holder=holder,
        upstreams=upstreams,
        readiness=Readiness(),
        mirrors=mirrors,
        operator_keys=operator_keys,
        own_keys=own_keys,
        runs_batch=runs_batch,
        writes=HedgedWrites(store, load, cfg.peer_port),
    )
    load.on_report.append(fleet.hear_report)
    return fleet


@contextlib.asynccontextmanager
async def open_fleet(
    cfg: PlatformInstance, *, runs_batch: bool
) -> AsyncIterator[Fleet]:
    """Make the shared parts; :func:`follow_fleet` runs them."""
    fleet = _make_fleet(cfg, runs_batch=runs_batch)
    try:
        yield fleet
    finally:
        fleet.store.close()


@contextlib.asynccontextmanager
async def follow_fleet(fleet: Fleet) -> AsyncIterator[None]:
    """Follow the store and the peers in the background."""
    cfg = fleet.cfg
    transfer = StateTransfer(
        mirrors=fleet.mirrors,
        load=fleet.load,
        port=cfg.peer_port,
        offers=fleet.offers,
        actions={WRITE_PATH: fleet.writes.take},
    )
    address = (cfg.host, cfg.peer_port)
    async with (
        serve_callers(address, transfer.bounds, transfer.serve),
        hold_registration(fleet.store, member_key(cfg.name), cfg.host),
        trio.open_nursery() as nursery,
    ):
        nursery.start_soon(fleet.load.run)
        nursery.start_soon(transfer.run)
        for mirror in fleet.mirrors.values():
            nursery.start_soon(mirror.run)
        yield
        nursery.cancel_scope.cancel()


async def watch_signals(readiness: Readiness) -> None:
    """Begin the drain on SIGTERM or SIGINT, for the life of the process.

    SIGHUP says that the settings file has changed. All that is read from it
    are the instance's own addresses and the store's, which stay for the life
    of a process, so it is only noted. Signals during the drain change
    nothing: without a receiver they would end the process.
    """
    watched = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with trio.open_signal_receiver(*watched) as signals:
        async for number in signals:
            if number == signal.SIGHUP:
                log_message('settings:changed')
            else:
                readiness.begin_drain()


@attrs.define
class _ReadyServer:
    """Answers the balancer, and collectors of metrics."""

    readiness: Readiness

    async def serve(self, conn: CallerConnection) -> None:
        while (head := await conn.next_request()) is not None:
            await conn.read_body(head)
            if head.path == '/metrics':
                kind = ((b'content-type', CONTENT_TYPE_LATEST.encode()),)
                await conn.send_answer(_HTTP_OK, kind, generate_latest())
                continue
            is_ready = self.readiness.is_ready
            status = _HTTP_OK if is_ready else _HTTP_UNAVAILABLE
            await conn.send_answer(status, (), b'')


@contextlib.asynccontextmanager
async def serve_ready(
    address: tuple[str, int], readiness: Readiness
) -> AsyncIterator[None]:
    """Serve readiness and metrics until exit."""
    server = _ReadyServer(readiness)
    async with serve_callers(address, CallerBounds, server.serve):
        yield
