"""soak.rounds: plays one round with the real processes."""

import contextlib
import pathlib
from collections.abc import Sequence

import attrs
import trio

from briarrill.transport.http_callers import serve_callers
from standins.platform_processes import STORE_PORT, PlatformProcess
from standins.platform_store import StandinStore

from .callers import Callers
from .checks import Finding, IdleItems, check_record
from .faults import KEEP_S, Faults
from .plan import PART_RUNNERS, RUNNERS, Plan
from .processes import run_processes
from .record import Record, Sample
from .runners import PART_SERVICE, SERVICE, SLOTS, Runner

__all__ = ('Outcome', 'Place', 'play_round')

# last numbers of the addresses
FIRST_ENTRY = 2
FIRST_BATCH = 10
FIRST_RUNNER = 20

SAMPLE_PERIOD_S = 0.25

# callers read about twice a second; without a page for so long, the entries
# or this process stand still
READ_AGE_S = 2.0

# time after the last fault in which all items are to be listed, also on a
# machine that is busy with other things
FINISH_LIMIT_S = 300

# results stay readable for longer than a round
RETENTION_S = 1200


@attrs.frozen
class Place:
    """Where a round is played.

    :param network: prefix of its addresses.
    :param folder: where the logs are.
    :param name: prefix of the jobs' identifiers.
    :param idle_s: longest time for which owed items may wait beside idle
        runners.
    """

    network: str
    folder: pathlib.Path
    name: str
    idle_s: float


@attrs.frozen
class Outcome:
    """What a round has shown.

    :param lines: faults as they happened, and counts of responses.
    """

    record: Record
    findings: Sequence[Finding]
    lines: Sequence[str]


@attrs.define
class _Clock:
    """Tells the seconds from the begin of a round."""

    begun_at: float = attrs.field(factory=trio.current_time)

    def __call__(self) -> float:
        """Return the seconds since the begin."""
        return trio.current_time() - self.begun_at


@attrs.define
class _Round:
    """One round that is being played."""

    plan: Plan
    idle: IdleItems
    record: Record
    runners: Sequence[Runner]
    callers: Callers
    faults: Faults
    findings: list[Finding] = attrs.field(factory=list)

    async def play(self) -> None:
        """Play jobs and faults; return when all is listed or found stalled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._sample, nursery.cancel_scope)
            if self.plan.online_pause_s:
                nursery.start_soon(
                    self.callers.ask_online, self.plan.online_pause_s
                )
            async with trio.open_nursery() as jobs:
                for number, job in enumerate(self.plan.jobs):
                    jobs.start_soon(self.callers.run_job, number, job)
                await self.faults.run(self.plan.faults)
                jobs.cancel_scope.deadline = (
                    trio.current_time() + FINISH_LIMIT_S
                )
            with trio.move_on_after(FINISH_LIMIT_S) as scope:
                await self.callers.read_all_again()
                await self.callers.try_others()
            if scope.cancelled_caught:
                self.findings.append(Finding('read', 'a job is not readable'))
            nursery.cancel_scope.cancel()

    async def _sample(self, round_scope: trio.CancelScope) -> None:
        """Look for idle items; end the round when there are any."""
        while not self.findings:
            await trio.sleep(SAMPLE_PERIOD_S)
            sample = self._take_sample()
            self.record.samples.append(sample)
            self.findings += self.idle.add(sample)
        round_scope.cancel()

    def _take_sample(self) -> Sample:
        now_s = self.callers.clock()
        unlisted = self.record.unlisted()
        working = {
            request_id
            for runner in self.runners
            for request_id in runner.at_work
        }
        return Sample(
            at_s=now_s,
            is_calm=self.faults.is_calm,
            is_read=now_s - self.callers.last_read_s < READ_AGE_S,
            busy=max(map(self._busy_share, (SERVICE, PART_SERVICE))),
            worked_on=frozenset(
                job_id
                for job_id, items in unlisted.items()
                if working.intersection(items)
            ),
            unlisted=unlisted,
        )

    def _busy_share(self, service: str) -> float:
        """Return the share of the slots of a service that are taken."""
        runs = [
            sum(runner.at_work.values())
            for runner in self.runners
            if runner.service == service
        ]
        return sum(runs) / (SLOTS * len(runs))


async def play_round(plan: Plan, place: Place) -> Outcome:
    """Play a round on addresses of its own; return what it has shown."""
    store = StandinStore()
    record = Record()
    clock = _Clock()
    runners = [
        Runner(
            store,
            f'r{number}',
            f'{place.network}.{FIRST_RUNNER + number}',
            record,
            SERVICE if number < RUNNERS else PART_SERVICE,
        )
        for number in range(RUNNERS + PART_RUNNERS)
    ]
    faults = Faults(
        store, runners, record, clock, has_customers=plan.has_customers
    )
    faults.write_routes()
    callers = Callers(
        [f'{place.network}.{number}' for number in _entry_numbers(plan)],
        record,
        clock,
        place.name,
        (lambda: faults.key_turn) if plan.has_customers else None,
    )
    async with contextlib.AsyncExitStack() as stack:
        await stack.enter_async_context(
            serve_callers(
                (f'{place.network}.1', STORE_PORT),
                store.caller_limits,
                store.serve,
            )
        )
        nursery = await stack.enter_async_context(trio.open_nursery())
        stack.callback(nursery.cancel_scope.cancel)
        for runner in runners:
            nursery.start_soon(runner.run)
        faults.processes = await stack.enter_async_context(
            run_processes(_processes(plan, place))
        )
        clock.begun_at = trio.current_time()
        played = _Round(
            plan, IdleItems(place.idle_s), record, runners, callers, faults
        )
        await played.play()
    for process in faults.processes:
        for code in process.odd_ends:
            record.odd_ends.append(f'{process.place.name}, with code {code},')
    # what idle items lack at the end is known already
    findings = played.findings + [
        finding
        for finding in check_record(record, KEEP_S)
        if not played.findings or finding.check != 'missing'
    ]
    statuses = [
        f'{name}: {count}' for name, count in callers.statuses.most_common()
    ]
    return Outcome(record, findings, [*faults.lines, *statuses])


def _entry_numbers(plan: Plan) -> range:
    return range(FIRST_ENTRY, FIRST_ENTRY + plan.entries)


def _processes(plan: Plan, place: Place) -> list[PlatformProcess]:
    """Return the entries, then the batch processes."""
    numbers = [('entry', number) for number in _entry_numbers(plan)]
    numbers += [
        ('batch', FIRST_BATCH + number) for number in range(plan.batches)
    ]
    processes = []
    for program, number in numbers:
        disk = place.folder / f'disk-{number}'
        disk.mkdir()
        processes.append(
            PlatformProcess(
                place.network,
                place.folder,
                program,
                number,
                data_dir=str(disk),
                retention_s=RETENTION_S,
                logs_errors=True,
            )
        )
    return processes
