"""soak.faults: puts the faults of a plan into effect."""

import json
from collections.abc import Callable, Sequence
from typing import Any

import attrs
import trio

from standins.platform_processes import ROUTES
from standins.platform_store import StandinStore

from .plan import (
    CUSTOMERS,
    JOBS_ROUTES,
    PART_PREFIX,
    Fault,
    FaultKind,
    api_key,
)
from .processes import ManagedProcess
from .record import Record
from .runners import PART_SERVICE, Runner

__all__ = ('Faults', 'KEEP_S', 'routes')

#: Time after which an item may be given up; longer than a round.
KEEP_S = 600

# time without a fault after which processes are in touch and the store
# counts as stable: contact_ms of the platform's contracts. The platform also
# leaves out items that failed at a runner in the last 20 s; they count here
CONTACT_S = 3.0

REFUSALS = {FaultKind.FULL: 503, FaultKind.BUSY: 429}


def routes(*, has_passing: bool, is_split: bool) -> list[dict[str, Any]]:
    """Return the routes of the configuration.

    :param has_passing: whether the second route of jobs is there.
    :param is_split: whether a part of the first one is a route of its own.
    """
    online, jobs = ROUTES['routes']
    jobs = {**jobs, 'keep_s': KEEP_S, 'max_queued_tokens': 0}
    passing = {**jobs, 'name': JOBS_ROUTES[1], 'prefix': f'/{JOBS_ROUTES[1]}/'}
    part = {**jobs, 'prefix': PART_PREFIX, 'service': PART_SERVICE}
    split = [{**jobs, 'name': 'rest'}, part] if is_split else [jobs]
    return [online, *split, *([passing] if has_passing else [])]


@attrs.define
class Faults:
    """Has faults happen, and tells whether all is calm.

    :param clock: returns the seconds from the begin of the round.
    :ivar lines: what happened, and when.
    :ivar has_customers: whether the configuration has customers.
    :ivar key_turn: how many keys of each customer were taken away.
    """

    store: StandinStore
    runners: Sequence[Runner]
    record: Record
    clock: Callable[[], float]
    processes: Sequence[ManagedProcess] = ()
    lines: list[str] = attrs.field(factory=list)
    has_customers: bool = False
    key_turn: int = 0
    _active: int = 0
    _last_end_s: float = 0
    _routes_away: int = 0
    _splits: int = 0
    _silences: int = 0
    _errors: int = 0
    _newest_key: int = 0
    _version: int = 3

    @property
    def is_calm(self) -> bool:
        """Whether no fault has been in effect for the contact time."""
        quiet_s = self.clock() - self._last_end_s
        return not self._active and quiet_s >= CONTACT_S

    def write_routes(self) -> None:
        """Write the configuration, with all routes that are not away."""
        self._version += 1
        config = {
            'version': self._version,
            'routes': routes(
                has_passing=not self._routes_away,
                is_split=bool(self._splits),
            ),
        }
        if self.has_customers:
            config['tenants'] = [
                {
                    'name': name,
                    'api_keys': [
                        api_key(name, turn) for turn in self._valid_turns()
                    ],
                }
                for name in CUSTOMERS
            ]
        self.store.put('op/config', json.dumps(config).encode())

    async def run(self, faults: Sequence[Fault]) -> None:
        """Have all faults happen; return when the last one has ended."""
        async with trio.open_nursery() as nursery:
            for fault in faults:
                nursery.start_soon(self._run_one, fault)

    async def _run_one(self, fault: Fault) -> None:
        await trio.sleep(max(0, fault.at_s - self.clock()))
        self._active += 1
        self.lines.append(f'{self.clock():.2f} begins: {fault}')
        if fault.kind in _RUNNER_EFFECTS:
            async with trio.open_nursery() as nursery:
                for number in fault.targets:
                    effect = _RUNNER_EFFECTS[fault.kind]
                    nursery.start_soon(effect, self.runners[number], fault)
        elif fault.kind in _PROCESS_EFFECTS:
            async with trio.open_nursery() as nursery:
                for number in fault.targets:
                    process = self.processes[number % len(self.processes)]
                    nursery.start_soon(
                        _PROCESS_EFFECTS[fault.kind], process, fault.lasts_s
                    )
        elif fault.kind is FaultKind.REVOKE:
            await self._revoke(fault.lasts_s)
        elif fault.kind is FaultKind.SPLIT_ROUTE:
            await self._split_route(fault.lasts_s)
        else:
            await self._disturb_store(fault)
        self.lines.append(f'{self.clock():.2f} ended: {fault}')
        self._active -= 1
        self._last_end_s = self.clock()

    async def _disturb_store(self, fault: Fault) -> None:
        if fault.kind is FaultKind.COMPACT:
            self.store.compact_history()
        elif fault.kind is FaultKind.REMOVE_ROUTE:
            await self._remove_route(fault.lasts_s)
        elif fault.kind is FaultKind.STORE_ERRORS:
            self._errors += 1
            self.store.error_status = 503
            await trio.sleep(fault.lasts_s)
            self._errors -= 1
            if not self._errors:
                self.store.error_status = 0
        else:
            self._silences += 1
            self.store.silent = True
            await trio.sleep(fault.lasts_s)
            self._silences -= 1
            self.store.silent = bool(self._silences)

    def _valid_turns(self) -> range:
        return range(self.key_turn, self._newest_key + 1)

    async def _revoke(self, both_s: float) -> None:
        """Add a key of each customer, then take the one before away."""
        self._newest_key += 1
        self.write_routes()
        await trio.sleep(both_s)
        self.key_turn += 1
        self.write_routes()

    async def _split_route(self, lasts_s: float) -> None:
        self._splits += 1
        self.write_routes()
        await trio.sleep(lasts_s)
        self._splits -= 1
        self.write_routes()

    async def _remove_route(self, away_s: float) -> None:
        ends = self.record.route_ends.setdefault(JOBS_ROUTES[1], [])
        ends.append(self.clock())
        self._routes_away += 1
        self.write_routes()
        await trio.sleep(away_s)
        self._routes_away -= 1
        self.write_routes()


async def _crash(runner: Runner, fault: Fault) -> None:
    keeps_id = fault.kind is FaultKind.REBORN
    await runner.crash(fault.lasts_s, keeps_id=keeps_id)


async def _limit(runner: Runner, fault: Fault) -> None:
    runner.limit = fault.amount
    await trio.sleep(fault.lasts_s)
    runner.limit = 0


async def _mute(runner: Runner, fault: Fault) -> None:
    with runner.mute():
        await trio.sleep(fault.lasts_s)


async def _refuse(runner: Runner, fault: Fault) -> None:
    runner.refusal = (REFUSALS[fault.kind], fault.amount)
    await trio.sleep(fault.lasts_s)
    runner.refusal = None


_RUNNER_EFFECTS = {
    FaultKind.CRASH: _crash,
    FaultKind.REBORN: _crash,
    FaultKind.LIMIT: _limit,
    FaultKind.MUTE: _mute,
    FaultKind.FULL: _refuse,
    FaultKind.BUSY: _refuse,
}
_PROCESS_EFFECTS = {
    FaultKind.KILL: ManagedProcess.kill,
    FaultKind.TERMINATE: ManagedProcess.terminate,
    FaultKind.PAUSE: ManagedProcess.pause,
}
