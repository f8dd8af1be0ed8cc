"""bench.allowances: limits of a contract over entries, holders failing.

Usage:
  bench.allowances [--seed=N]

Entries in one process lend to each other over ZeroMQ on the loopback and
admit a seeded demand of three times the contract's limit.  The overshoot is
the largest number of requests admitted in any window beyond the limit's rate
and one second's burst; that of requests in flight is the most at once.

Options:
  --seed=N  Seed of the demand [default: 5].
"""

import contextlib
import random
import time
import types
from collections.abc import AsyncIterator, Callable
from typing import Any, cast

import attrs
import docopt
import trio

from briarrill.control import Control
from briarrill.entry.lender import FleetLender, Lender
from briarrill.entry.limits import ContractLimits
from briarrill.errors import LimitError
from briarrill.protocol.codec import encode
from briarrill.protocol.messages import Allowance, Borrow, Message
from briarrill.protocol.rpc import RpcPool, open_rpc_pool, serve_rpc
from briarrill.state.contracts import Configuration, Contract
from briarrill.state.membership import Membership
from briarrill.state.rendezvous import rank_nodes
from briarrill.state.settings import InstanceSettings, PortSettings
from briarrill.transport.instance_list import Instance, Role

ENTRIES = 4
# addresses of a run are not used again, since they may still be closing
NETWORKS = (f'127.139.{number}' for number in range(1, 250))
PORTS = PortSettings()

RATE = 100.0
IN_FLIGHT = 60
OVERLOAD = 3.0
HOLD_S = 0.4
DURATION_S = 8.0
FAULT_AT_S = 2.0
LIST_LAG_S = 1.0
THAW_AT_S = 5.0

# frames of ZeroMQ and of the request number, for each message
FRAMING_BYTES = 16

CONTRACT = Contract(
    api_key_sha256=(),
    requests_per_second=RATE,
    requests_in_flight=IN_FLIGHT,
    tokens_per_second=1e9,
)


@attrs.define
class Tally:
    """What was admitted, and the messages that it took."""

    admitted_at: list[float] = attrs.field(factory=list)
    in_flight: int = 0
    most_in_flight: int = 0
    demand: int = 0
    calls: int = 0
    sent_bytes: int = 0

    def overshoot(self) -> float:
        """Return the largest excess over rate and burst in any window."""
        worst = 0.0
        credit = RATE
        last = self.admitted_at[0]
        for moment in sorted(self.admitted_at):
            credit = min(RATE, credit + (moment - last) * RATE) - 1
            last = moment
            worst = max(worst, -credit)
        return worst


class Entry:
    """One entry: its limits, its lender and its control port."""

    def __init__(
        self, number: int, pool: RpcPool, listed: tuple[Instance, ...]
    ) -> None:
        """Serve nothing yet."""
        self.instance = listed[number]
        self.membership = Membership(listed)
        self.thawed = trio.Event()
        self.thawed.set()
        self.awake = self.thawed
        configuration = Configuration(contracts={'c': CONTRACT})
        own = InstanceSettings(
            self.instance.name, self.instance.host, 'a', 'lutruwita'
        )
        control = Control(
            instance=own,
            role=Role.ENTRY,
            ports=PORTS,
            platform=cast(Any, None),
            readiness=cast(Any, None),
            caller=pool,
            config_holder=cast(
                Any, types.SimpleNamespace(current=configuration)
            ),
            membership=self.membership,
        )
        self.lender = FleetLender(control)
        self.limits = ContractLimits(self.instance.name, self.lender)
        self.scope = trio.CancelScope()

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until the scope is cancelled."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                await nursery.start(
                    serve_rpc,
                    self.instance.host,
                    PORTS.entry_control,
                    {Borrow: self._answer},
                )
                nursery.start_soon(self.limits.run)
                task_status.started()

    async def _answer(self, borrow: Borrow) -> Message:
        await self.thawed.wait()
        return await self.lender.lend_to_entry(borrow)


@attrs.define
class _SplitLender(Lender):
    """The baseline: each entry has a fixed part of the limits."""

    lender: FleetLender

    async def run(self) -> None:
        """Follow no fleet."""

    async def borrow(self, borrow: Borrow, contract: Contract) -> Allowance:
        """Lend from the entry's own part."""
        await trio.lowlevel.checkpoint()
        return self.lender.ledger.lend(borrow, contract, 0, 1 / ENTRIES)


def _listed(network: str) -> tuple[Instance, ...]:
    return tuple(
        Instance(
            f'entry-{number}',
            f'{network}.{number + 1}',
            'a',
            'lutruwita',
            (Role.ENTRY,),
        )
        for number in range(ENTRIES)
    )


@contextlib.asynccontextmanager
async def _open_entries(tally: Tally) -> AsyncIterator[list[Entry]]:
    async with open_rpc_pool() as pool, trio.open_nursery() as nursery:
        _count_calls(pool, tally)
        listed = _listed(next(NETWORKS))
        entries = [Entry(number, pool, listed) for number in range(ENTRIES)]
        for entry in entries:
            await nursery.start(entry.run)
        # a fleet that has run for a while
        await trio.sleep(1.5)
        yield entries
        nursery.cancel_scope.cancel()


def _count_calls(pool: RpcPool, tally: Tally) -> None:
    call = pool.call

    async def counted(
        host: str, port: int, request: Message, timeout_s: float = 2.0
    ) -> Message:
        tally.calls += 1
        reply = await call(host, port, request, timeout_s)
        for message in (request, reply):
            size = sum(map(len, encode(message)))
            tally.sent_bytes += size + FRAMING_BYTES
        return reply

    pool.call = counted  # type: ignore[method-assign]


async def _send_demand(
    entry: Entry, rate: float, tally: Tally, rng: random.Random
) -> None:
    async with trio.open_nursery() as nursery:
        until = time.monotonic() + DURATION_S
        while time.monotonic() < until and not entry.scope.cancel_called:
            await trio.sleep(rng.expovariate(rate))
            hold_s = rng.expovariate(1 / HOLD_S)
            nursery.start_soon(_request, entry, tally, hold_s)


async def _request(entry: Entry, tally: Tally, hold_s: float) -> None:
    await entry.awake.wait()
    tally.demand += 1
    try:
        admitted_request = await entry.limits.admit('c', CONTRACT)
    except LimitError:
        return
    with admitted_request:
        tally.admitted_at.append(time.monotonic())
        tally.in_flight += 1
        tally.most_in_flight = max(tally.most_in_flight, tally.in_flight)
        await trio.sleep(hold_s)
        tally.in_flight -= 1


def _first_holder(entries: list[Entry]) -> Entry:
    name = rank_nodes('c', [entry.instance.name for entry in entries])[0]
    return next(entry for entry in entries if entry.instance.name == name)


async def _no_fault(entries: list[Entry]) -> None:
    """Leave all as it is."""


async def _lose_holder(entries: list[Entry]) -> None:
    """Lose the holder; the list says so later."""
    lost = _first_holder(entries)
    await trio.sleep(FAULT_AT_S)
    lost.scope.cancel()
    await trio.sleep(LIST_LAG_S)
    _hide(lost, entries)


async def _cut_holder(entries: list[Entry]) -> None:
    """Cut the holder off; it lends to itself and answers others late."""
    cut = _first_holder(entries)
    await trio.sleep(FAULT_AT_S)
    cut.thawed = trio.Event()
    await trio.sleep(THAW_AT_S - FAULT_AT_S)
    cut.thawed.set()


async def _freeze_holder(entries: list[Entry]) -> None:
    """Freeze the holder and its requests; it goes on later."""
    frozen = _first_holder(entries)
    await trio.sleep(FAULT_AT_S)
    frozen.thawed = trio.Event()
    frozen.awake = frozen.thawed
    await trio.sleep(THAW_AT_S - FAULT_AT_S)
    frozen.thawed.set()


async def _split_views(entries: list[Entry]) -> None:
    """Half of the entries see a list without the holder for 3 s."""
    holder = _first_holder(entries)
    await trio.sleep(FAULT_AT_S)
    others = [entry for entry in entries if entry is not holder]
    _hide(holder, others[:2])
    await trio.sleep(THAW_AT_S - FAULT_AT_S)
    for entry in others[:2]:
        entry.membership.replace_instances(holder.membership.instances)


def _hide(hidden: Entry, entries: list[Entry]) -> None:
    left = tuple(
        instance
        for instance in hidden.membership.instances
        if instance.name != hidden.instance.name
    )
    for entry in entries:
        entry.membership.replace_instances(left)


_Fault = Callable[[list[Entry]], Any]

FAULTS: dict[str, _Fault] = {
    'steady': _no_fault,
    'holder lost': _lose_holder,
    'holder frozen': _freeze_holder,
    'holder cut off': _cut_holder,
    'two holders': _split_views,
}


async def _measure_fault(name: str, seed: int) -> str:
    tally = Tally()
    async with _open_entries(tally) as entries, trio.open_nursery() as nursery:
        for number, entry in enumerate(entries):
            rng = random.Random(seed * ENTRIES + number)
            rate = RATE * OVERLOAD / ENTRIES
            nursery.start_soon(_send_demand, entry, rate, tally, rng)
        nursery.start_soon(FAULTS[name], entries)
    return _line(tally)


async def _measure_one_entry(seed: int, *, is_split: bool) -> str:
    """Send 0.9 of the limit to one entry."""
    tally = Tally()
    async with _open_entries(tally) as entries:
        if is_split:
            entries[0].limits.lender = _SplitLender(entries[0].lender)
        rate = RATE * 0.9
        rng = random.Random(seed)
        await _send_demand(entries[0], rate, tally, rng)
    return _line(tally)


def _line(tally: Tally) -> str:
    admitted = len(tally.admitted_at)
    allowed = RATE * DURATION_S + RATE
    return (
        f'admitted {admitted} of {tally.demand} '
        f'({admitted / allowed:.3f} of what the limit allows), '
        f'overshoot {tally.overshoot():.0f} requests, '
        f'most in flight {tally.most_in_flight} of {IN_FLIGHT}, '
        f'{tally.calls / DURATION_S / ENTRIES:.1f} calls/s and '
        f'{tally.sent_bytes / DURATION_S / ENTRIES:.0f} bytes/s an entry'
    )


async def _measure(seed: int) -> None:
    print(
        f'allowances: seed {seed}, {ENTRIES} entries, limit {RATE:.0f}/s and '
        f'{IN_FLIGHT} in flight, demand {OVERLOAD} times that'
    )
    print('target: overshoot 0 with one holder, one bucket for each further')
    for name in FAULTS:
        print(f'{name:14} {await _measure_fault(name, seed)}')
    for _ in range(2):
        for is_split in (True, False):
            kind = 'static split' if is_split else 'borrowed'
            line = await _measure_one_entry(seed, is_split=is_split)
            print(f'one entry, {kind:12} {line}')


def main() -> None:
    """Print a line for each fault, then the baseline by turns."""
    options = docopt.docopt(__doc__)
    trio.run(_measure, int(options['--seed']))


if __name__ == '__main__':
    main()
