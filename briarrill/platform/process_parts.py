"""briarrill.platform.process_parts: parts that all processes share."""

import contextlib
import random
import signal
from collections.abc import AsyncIterator

import attrs
import trio
from eliot import log_message

from ..coordination.feeds import FEED_PATH, FeedServer, FeedSource
from ..coordination.follower_choice import FollowerCandidate, choose_follower
from ..coordination.hedged_writes import WRITE_PATH, HedgedWrites
from ..coordination.job_table import JobTable
from ..coordination.latest_versions import LatestVersions
from ..coordination.load_exchange import LoadExchange
from ..coordination.mirror import Mirror, MirrorListener
from ..coordination.prompt_crashes import PromptQuarantine
from ..coordination.registration import hold_registration
from ..coordination.state_transfer import PeerResource, StateTransfer
from ..coordination.token_counts import (
    MAX_COUNT_AGE_S,
    TOKEN_COUNTS_PATH,
    TokenCounts,
)
from ..coordination.upstream_ends import UpstreamEnds
from ..coordination.upstream_table import RETURN_GRACE_S, UpstreamTable
from ..coordination.version_recorder import VersionRecorder
from ..coordination.version_records import VERSION_HOLD_S, VersionRecords
from ..protocol.load_reports import LoadReport
from ..readiness import Readiness
from ..state.keys import (
    MEMBERS_PREFIX,
    ROOT_PREFIX,
    UPSTREAM_VERSIONS_PREFIX,
    member_key,
)
from ..transport.http_callers import serve_callers
from .caller_bounds import Listener, ProcessBounds
from .configuration import (
    OPERATOR_PREFIX,
    RoutingConfigurationHolder,
)
from .member_keys import MemberKeys
from .settings import PlatformInstance
from .store import PlatformStore
from .upstreams import REGISTRATIONS_PREFIX, Registrations, decode_version

__all__ = (
    'KeyRouter',
    'ProcessParts',
    'open_parts',
    'run_background_tasks',
    'watch_signals',
)

# shortest time between two reads of changed jobs and results by the process
# that follows them; callers read results about twice a second
JOBS_WATCH_INTERVAL_S = 0.3

# pauses after which load reports that have arrived are read together; batch
# processes preempt items on them, entries only choose upstreams
BATCH_RECEIVE_PAUSE_S = 0.005
ENTRY_RECEIVE_PAUSE_S = 0.03


class KeyRouter(MirrorListener):
    """Passes changed keys to listeners by prefix; ignores other keys."""

    def __init__(self) -> None:
        """Start without listeners."""
        self._listeners: dict[str, MirrorListener] = {}

    def add(self, prefix: str, listener: MirrorListener) -> None:
        """Register a listener for the keys with a prefix."""
        self._listeners[prefix] = listener

    def apply_key(self, key: str, body: bytes | None) -> None:
        """Pass a changed key to the listeners of its prefixes."""
        for prefix, listener in self._listeners.items():
            if key.startswith(prefix):
                listener.apply_key(key, body)


@attrs.define
class ProcessParts:
    """Parts that the entry and batch processes share.

    :param routing_configuration: keeps the routes and limits in force.
    :param mirrors: local copies of keys of the store, by prefix.
    :param operator_keys: passes on the keys that the operator writes.
    :param own_keys: passes on briarrill's own keys.
    :param jobs_source: changes of jobs, from a follower or the store.
    :param resources: handlers of requests from peers, by path prefix.
    :param bounds: on what is held for callers.
    """

    cfg: PlatformInstance
    store: PlatformStore
    load: LoadExchange
    routing_configuration: RoutingConfigurationHolder
    upstreams: UpstreamTable
    ends: UpstreamEnds
    readiness: Readiness
    mirrors: dict[str, Mirror]
    operator_keys: KeyRouter
    own_keys: KeyRouter
    runs_batch: bool
    writes: HedgedWrites
    jobs_source: FeedSource
    resources: dict[str, PeerResource] = attrs.field(factory=dict)
    bounds: ProcessBounds = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the bounds that the settings state."""
        self.bounds = ProcessBounds(self.cfg)

    def complete_report(self, report: LoadReport) -> LoadReport:
        """Add role, drain state, crashes and mirror state to a load report."""
        return attrs.evolve(
            report,
            prompt_news=self.ends.quarantine.news(),
            failure_domain=self.cfg.failure_domain,
            runs_batch=self.runs_batch,
            is_leaving=self.readiness.is_draining,
            leaving=self.upstreams.leaving_incarnations,
            removed=self.upstreams.removed_incarnations,
            revisions={
                prefix: mirror.complete_revision
                for prefix, mirror in self.mirrors.items()
            },
            connected=tuple(filter(self.is_connected, self.mirrors)),
        )

    def make_job_table(self) -> TokenCounts:
        """Create the table of jobs; return it with what counts its tokens."""
        jobs = JobTable(self.store)
        self.own_keys.add('', jobs)
        mirror = self.mirrors[ROOT_PREFIX]
        counts = TokenCounts(
            jobs,
            lambda: mirror.is_recent(MAX_COUNT_AGE_S),
            self.load,
            self.cfg.peer_port,
            random.Random(),
            lambda: self.routing_configuration.routes,
        )
        self.resources[TOKEN_COUNTS_PATH] = counts.reply
        return counts

    def is_connected(self, prefix: str) -> bool:
        """Whether a prefix's changes arrive and the store replies."""
        return self.store.is_reachable and self.mirrors[prefix].is_connected

    def may_follow(self) -> bool:
        """Whether this process may act at the store for others."""
        is_draining = self.readiness.is_draining
        return self.is_connected(ROOT_PREFIX) and not is_draining

    def following_peers(self) -> list[str]:
        """Return the names of the live peers of which that holds."""
        return [
            report.process
            for report in self.load.peers.reachable
            if ROOT_PREFIX in report.connected and not report.is_leaving
        ]

    def restart_watches(self) -> None:
        """Watch on new connections, since the present ones may be dead."""
        for mirror in self.mirrors.values():
            mirror.restart()

    def follower_host(self) -> str | None:
        """Return the host of another process that watches the store.

        None if this process is to watch it for its failure domain.
        """
        domain = self.cfg.failure_domain
        peers = {
            report.process: report for report in self.load.peers.reachable
        }
        candidates = [
            FollowerCandidate(
                name=report.process,
                failure_domain=report.failure_domain,
                is_able=(
                    ROOT_PREFIX in report.connected and not report.is_leaving
                ),
                is_preferred=report.runs_batch,
            )
            for report in peers.values()
        ]
        own = FollowerCandidate(
            name=self.cfg.name,
            failure_domain=domain,
            is_able=self.may_follow(),
            is_preferred=self.runs_batch,
        )
        follower = choose_follower(domain, [own, *candidates])
        return peers[follower].host if follower in peers else None

    def record_peer_state(self, report: LoadReport) -> None:
        """Record a peer's revisions, and what it knows of upstreams."""
        self.ends.receive_news(report.prompt_news)
        for incarnation in report.leaving:
            self.upstreams.mark_leaving(incarnation)
        self.upstreams.record_peer_removals(report.removed)
        for prefix in report.connected:
            mirror = self.mirrors.get(prefix)
            if mirror is not None:
                mirror.record_peer_revision(report.revisions.get(prefix, 0))


def _make_parts(cfg: PlatformInstance, *, runs_batch: bool) -> ProcessParts:
    """Create mirrors, tables and the load exchange, and connect them."""
    store = PlatformStore(cfg.store, cfg.max_value_bytes)
    own_keys = KeyRouter()
    operator_keys = KeyRouter()
    mirrors: dict[str, Mirror] = {}

    def is_stable() -> bool:
        return not store.replies.was_late(RETURN_GRACE_S) and mirrors[
            REGISTRATIONS_PREFIX
        ].is_stable(RETURN_GRACE_S)

    records = VersionRecords(
        is_read=lambda: mirrors[ROOT_PREFIX].is_connected,
        followed_since=lambda: mirrors[REGISTRATIONS_PREFIX].connected_since,
        is_read_by_peers=lambda: bool(parts.following_peers()),
        hold_s=VERSION_HOLD_S,
    )
    latest = LatestVersions(
        store,
        records,
        REGISTRATIONS_PREFIX,
        position=lambda: mirrors[REGISTRATIONS_PREFIX].position,
        decode=decode_version,
    )
    upstreams = UpstreamTable(
        is_stable,
        records,
        # a watch is connected until its silence is noticed
        followed_s=lambda: (
            mirrors[REGISTRATIONS_PREFIX].followed.total_s
            - store.replies.late_s
        ),
        find_missed=latest.find_missed,
    )
    mirrors[OPERATOR_PREFIX] = Mirror(
        store, OPERATOR_PREFIX, operator_keys, stores_bodies=True
    )
    mirrors[REGISTRATIONS_PREFIX] = Mirror(
        store,
        REGISTRATIONS_PREFIX,
        Registrations(upstreams),
        stores_bodies=True,
    )
    parts: ProcessParts
    jobs_source = FeedSource(
        store, lambda: parts.follower_host(), cfg.peer_port
    )
    mirrors[ROOT_PREFIX] = Mirror(
        jobs_source,
        ROOT_PREFIX,
        own_keys,
        JOBS_WATCH_INTERVAL_S,
        stores_bodies=True,
    )
    load = LoadExchange(
        process=cfg.name,
        host=cfg.host,
        port=cfg.peer_port,
        seeds=cfg.seeds,
        complete_report=lambda report: parts.complete_report(report),
        receive_pause_s=(
            BATCH_RECEIVE_PAUSE_S if runs_batch else ENTRY_RECEIVE_PAUSE_S
        ),
    )
    load.messages.origins.failure_domain = cfg.failure_domain
    routing_configuration = RoutingConfigurationHolder(load.schedule_report)
    load.knowledge.capacities = lambda: routing_configuration.capacities
    operator_keys.add(OPERATOR_PREFIX, routing_configuration)
    own_keys.add(MEMBERS_PREFIX, MemberKeys(load))
    ends = UpstreamEnds(upstreams, PromptQuarantine(), load.schedule_report)
    parts = ProcessParts(
        cfg=cfg,
        store=store,
        load=load,
        routing_configuration=routing_configuration,
        upstreams=upstreams,
        ends=ends,
        readiness=Readiness(),
        mirrors=mirrors,
        operator_keys=operator_keys,
        own_keys=own_keys,
        runs_batch=runs_batch,
        writes=HedgedWrites(store, load, cfg.peer_port),
        jobs_source=jobs_source,
    )
    load.peers.on_report.append(parts.record_peer_state)
    return parts


@contextlib.asynccontextmanager
async def open_parts(
    cfg: PlatformInstance, *, runs_batch: bool
) -> AsyncIterator[ProcessParts]:
    """Create the shared parts; :func:`run_background_tasks` runs them."""
    parts = _make_parts(cfg, runs_batch=runs_batch)
    try:
        yield parts
    finally:
        parts.jobs_source.close()
        parts.store.close()


@contextlib.asynccontextmanager
async def run_background_tasks(parts: ProcessParts) -> AsyncIterator[None]:
    """Run mirrors, load exchange, peer server and registration until exit."""
    cfg = parts.cfg
    transfer = StateTransfer(
        mirrors=parts.mirrors,
        load=parts.load,
        port=cfg.peer_port,
        resources=parts.resources,
        request_handlers={
            WRITE_PATH: parts.writes.apply_peer_write,
            FEED_PATH: FeedServer(parts.mirrors).serve,
        },
    )
    recorder = VersionRecorder(
        parts.store,
        parts.upstreams,
        cfg.name,
        may_write=parts.may_follow,
        other_writers=parts.following_peers,
    )
    parts.own_keys.add(UPSTREAM_VERSIONS_PREFIX, recorder)
    address = (cfg.host, cfg.peer_port)
    async with (
        serve_callers(
            address,
            transfer.caller_limits,
            transfer.serve,
            parts.bounds.of(Listener.PEERS),
        ),
        hold_registration(parts.store, member_key(cfg.name), cfg.host),
        trio.open_nursery() as nursery,
    ):
        nursery.start_soon(
            parts.store.probe_periodically, parts.restart_watches
        )
        nursery.start_soon(parts.load.run)
        nursery.start_soon(parts.ends.run)
        nursery.start_soon(transfer.run)
        nursery.start_soon(recorder.run)
        for mirror in parts.mirrors.values():
            nursery.start_soon(mirror.run)
        yield
        nursery.cancel_scope.cancel()


async def watch_signals(readiness: Readiness) -> None:
    """Begin the drain on SIGTERM or SIGINT; runs until the process ends.

    SIGHUP announces a changed settings file. It is only logged, because what
    is read from the file, the addresses of the instance and of the store,
    does not change during the life of a process. Signals during the drain
    are ignored; without a receiver they would end the process, so they stay
    ignored when the receiver is closed.
    """
    watched = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    for one in watched:
        # what the receiver restores at its end
        signal.signal(one, signal.SIG_IGN)
    with trio.open_signal_receiver(*watched) as signals:
        async for number in signals:
            if number == signal.SIGHUP:
                log_message('settings:changed')
            else:
                readiness.begin_drain()
