"""Prompts with a part that ends each upstream that runs them."""

import contextlib

import attrs
import pytest
import trio

from briarrill.errors import BriarrillError
from briarrill.transport.http_messages import RequestHead
from standins.platform_store import StandinStore
from tests.platform.crashing_engine import (
    ENTRY_HOSTS,
    CrashingEngine,
    End,
    has_part,
    run_engines_and_processes,
)
from tests.platform.platform_fleet import (
    FRONT_PORT,
    Fleet,
    send_request_to,
    store_routes,
)

ENGINES = 8
REQUEST_PAUSE_S = 0.08

# requests in a row, at each entry, that reach no upstream
REFUSED_IN_A_ROW = 10


@attrs.define
class CrashingFleet:
    """Two entries and a batch process before upstreams that end."""

    fleet: Fleet
    engines: list[CrashingEngine]
    sent: int = 0

    @property
    def reached(self):
        return sum(engine.reached for engine in self.engines)

    async def ask(self, host_number, *shared):
        """Send a prompt with these parts; return the status, if any."""
        self.sent += 1
        own = f'own{self.sent}'
        listed = ','.join(f'{part}:100' for part in (*shared, own))
        head = RequestHead(
            b'POST',
            b'/online/x',
            (
                (b'host', b'h'),
                (b'briarrill-attempt-id', own.encode()),
                (b'briarrill-deadline-ms', b'2000'),
                (b'briarrill-prompt-prefix', listed.encode()),
            ),
        )
        address = (f'{self.fleet.network}.{host_number}', FRONT_PORT)
        with contextlib.suppress(BriarrillError):
            status, _ = await send_request_to(address, head)
            return status
        return None

    async def refuse_in_a_row(self, *shared):
        """Send prompts until both entries refuse a number of them."""
        in_a_row = 0
        while in_a_row < REFUSED_IN_A_ROW:
            reached = self.reached
            statuses = [
                await self.ask(number, *shared) for number in ENTRY_HOSTS
            ]
            is_refused = reached == self.reached and statuses == [503, 503]
            in_a_row = in_a_row + 1 if is_refused else 0
            await trio.sleep(REQUEST_PAUSE_S)

    async def serve_sound_ones(self):
        """Send sound prompts that share the first part, until cancelled."""
        while True:
            for number in ENTRY_HOSTS:
                await self.ask(number, 'first', f'sound{self.sent}')
            await trio.sleep(REQUEST_PAUSE_S / 2)


@contextlib.asynccontextmanager
async def crashing_fleet(network, folder, end):
    """Run the processes and the upstreams until exit."""
    store = StandinStore()
    store_routes(store)
    engines = [
        CrashingEngine(
            store,
            f'i{number}',
            f'{network}.{number}',
            has_part(b'bad'),
            end,
        )
        for number in range(10, 10 + ENGINES)
    ]
    async with run_engines_and_processes(
        network, folder, store, engines
    ) as fleet:
        yield CrashingFleet(fleet, engines)


@pytest.mark.parametrize('end', End)
async def test_prompt_part_that_ends_upstreams_soon_reaches_none(
    network, tmp_path, end
):
    async with crashing_fleet(network, tmp_path, end) as crashing:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(crashing.serve_sound_ones)
            with trio.fail_after(30):
                await crashing.refuse_in_a_row('first', 'bad')
            nursery.cancel_scope.cancel()
        statuses = [
            await crashing.ask(number, 'first', 'other')
            for number in ENTRY_HOSTS * 5
        ]
        assert statuses == [200] * 10
        # the part is remembered whatever else the prompt holds
        reached = crashing.reached
        assert await crashing.ask(2, 'bad') == 503
        assert await crashing.ask(4, 'first', 'other', 'bad') == 503
        assert crashing.reached == reached
