"""Replays of causes that end upstreams, tried ten times a second.

They run on virtual time with the processes' own observers, which check
upstreams, exchange reports and decide. Sound requests run beside the tries.
"""

import contextlib
import itertools
import random
import types

import attrs
import pytest
import trio

from briarrill.coordination import upstream_ends
from briarrill.coordination.prompt_crashes import (
    PromptQuarantine,
    check_quarantine,
    may_run_at,
)
from briarrill.coordination.report_sender import (
    HEARTBEAT_INTERVAL_S,
    report_pause_s,
)
from briarrill.coordination.upstream_ends import UpstreamEnds
from briarrill.coordination.upstream_table import (
    RegisteredUpstream,
    UpstreamTable,
)
from briarrill.errors import (
    PeerUnreachableError,
    QuarantinedError,
    UpstreamLostError,
)
from briarrill.protocol.load_reports import (
    LoadReport,
    decode_report,
    encode_report,
    short_hash,
)
from briarrill.protocol.request_keys import request_key

# bounds on the upstreams that end in all
MAX_ENDS_AT_ONE_ENTRY = 5
MAX_ENDS_AT_FOUR_ENTRIES = 6

UPSTREAMS = 24
TRY_PAUSE_S = 0.1
SOUND_PAUSE_S = 0.03
SOUND_PARTS = 20
SOUND_DURATIONS_S = (0.05, 0.2, 1.5)
STORM_S = 6.0

# time in which reports that have arrived are read
RECEIVE_PAUSE_S = 0.03

# time from the end of an upstream to that of its registration
LEASE_S = 2.4

BYTES_PAUSE_S = 0.3


def _key(name):
    return request_key('caller', b'POST', b'/x', name.encode())


BAD_KEY = _key('bad')

# what the tries have in common: a part of their prompts, the first one, or all
TRIES = {
    'part': lambda number: (('first', 'bad'), _key(f'try{number}')),
    'first': lambda number: (('bad', f'm{number}'), _key(f'try{number}')),
    'request': lambda _: (('first', 'second'), BAD_KEY),
    'plain': lambda _: ((), BAD_KEY),
}
CAUSES = {short_hash('bad'), BAD_KEY}


@attrs.define(eq=False)
class Upstream:
    """An upstream that ends under some requests, and its successors."""

    table: UpstreamTable
    host: str
    rng: random.Random
    nursery: trio.Nursery
    starts: int = 0
    is_up: bool = False
    registered: RegisteredUpstream = None
    ended: trio.Event = None

    def start(self):
        self.starts += 1
        self.is_up = True
        self.ended = trio.Event()
        name = f'{self.host}-{self.starts}'
        self.registered = RegisteredUpstream(
            name, 'llm', (self.host, 8080), 'a', 8, incarnation=name
        )
        self.table.register(self.registered)

    def end(self):
        if self.is_up:
            self.is_up = False
            self.ended.set()
            self.nursery.start_soon(self._return)

    async def _return(self):
        back_s = self.rng.uniform(1, 3)
        await trio.sleep(min(back_s, LEASE_S))
        self.table.unregister(self.registered.upstream_id)
        await trio.sleep(max(back_s - LEASE_S, 0))
        self.start()


class Entry:
    """An entry's observer, which reports to those of the others."""

    def __init__(self, replay):
        self._replay = replay
        self._due = trio.Event()
        self.quarantine = PromptQuarantine(trio.current_time)
        self.ends = UpstreamEnds(
            replay.table, self.quarantine, lambda: self._due.set()
        )

    async def report(self):
        pause_s = report_pause_s(self._replay.entry_count)
        while True:
            self._due = trio.Event()
            sent_at = trio.current_time()
            raw = encode_report(
                LoadReport('p', 'h', 1, 1, prompt_news=self.quarantine.news())
            )
            for other in self._replay.entries:
                if other is not self:
                    self._replay.nursery.start_soon(other.receive, raw)
            await trio.sleep_until(sent_at + pause_s)
            with trio.move_on_at(sent_at + HEARTBEAT_INTERVAL_S):
                await self._due.wait()

    async def receive(self, raw):
        await trio.sleep(self._replay.rng.uniform(0, RECEIVE_PAUSE_S))
        self.ends.receive_news(decode_report(raw).prompt_news)

    async def watch(self):
        """Record what is quarantined."""
        while True:
            for part in self.quarantine._quarantined:
                self._replay.record_quarantined(part)
            await trio.sleep(0.01)

    def may_run_at(self, parts, key, upstream):
        incarnation = upstream.registered.incarnation
        return may_run_at(self.quarantine, parts, key, incarnation)


@attrs.define(eq=False)
class Replay:
    """Entries before upstreams, some of whose requests end upstreams.

    :ivar end_times: when upstreams ended.
    :ivar quarantined_at: when the cause was quarantined anywhere.
    :ivar accused: sound parts and requests that were quarantined.
    :ivar held: sound requests that were not sent.
    """

    rng: random.Random
    entry_count: int
    end_delay_s: float
    nursery: trio.Nursery
    table: UpstreamTable = attrs.field(
        factory=lambda: UpstreamTable(lambda: True)
    )
    entries: list = attrs.field(factory=list)
    upstreams: list = attrs.field(factory=list)
    end_times: list = attrs.field(factory=list)
    quarantined_at: float | None = None
    accused: set = attrs.field(factory=set)
    sound: int = 0
    held: int = 0

    async def run(self, make_try, warm_up_s):
        for number in range(UPSTREAMS):
            upstream = Upstream(
                self.table, f'u{number}', self.rng, self.nursery
            )
            upstream.start()
            self.upstreams.append(upstream)
        for _ in range(self.entry_count):
            entry = Entry(self)
            self.entries.append(entry)
            for task in (entry.ends.run, entry.report, entry.watch):
                self.nursery.start_soon(task)
        self.nursery.start_soon(self._send_sound_ones)
        await trio.sleep(warm_up_s)
        tries_end_at = trio.current_time() + STORM_S
        for number in itertools.count():
            if trio.current_time() >= tries_end_at:
                break
            self.nursery.start_soon(self._try, *make_try(number))
            await trio.sleep(TRY_PAUSE_S)

    async def connect(self, address, timeout_s):
        """Take the place of a connection to an upstream's address."""
        await trio.sleep(0.001)
        for upstream in self.upstreams:
            if upstream.registered.address == address and upstream.is_up:
                return types.SimpleNamespace(close=lambda: None)
        raise PeerUnreachableError('refused')

    def record_quarantined(self, part):
        if part in CAUSES:
            self.quarantined_at = self.quarantined_at or trio.current_time()
        else:
            self.accused.add(part)

    async def _send_sound_ones(self):
        for number in itertools.count():
            part = f's{self.rng.randrange(SOUND_PARTS)}'
            first = 'first' if number % 2 else 'second'
            self.nursery.start_soon(
                self._ask_twice, (first, part), _key(f'sound{number}')
            )
            await trio.sleep(SOUND_PAUSE_S)

    async def _ask_twice(self, parts, key):
        """Send a sound request; retry it if its upstream ends."""
        self.sound += 1
        entry = self.rng.choice(self.entries)
        duration_s = self.rng.choice(SOUND_DURATIONS_S)
        for _ in range(2):
            try:
                await self._send(entry, parts, key, duration_s)
            except UpstreamLostError:
                continue
            except (QuarantinedError, PeerUnreachableError):
                self.held += 1
            return

    async def _try(self, parts, key):
        entry = self.rng.choice(self.entries)
        with contextlib.suppress(
            UpstreamLostError, QuarantinedError, PeerUnreachableError
        ):
            await self._send(entry, parts, key, None)

    async def _send(self, entry, parts, key, duration_s):
        """Run a request at an upstream, which it ends without a duration."""
        check_quarantine(entry.quarantine, parts, key)
        free = [
            upstream
            for upstream in self.upstreams
            if upstream.is_up and entry.may_run_at(parts, key, upstream)
        ]
        if not free:
            raise PeerUnreachableError('no upstream')
        upstream = self.rng.choice(free)
        ended = upstream.ended
        with entry.ends.track(upstream.registered, parts, key) as run:
            with trio.move_on_after(duration_s or self.end_delay_s):
                await self._receive(run, ended)
            if ended.is_set():
                raise UpstreamLostError('cut')
            if duration_s is None:
                self.end_times.append(trio.current_time())
                upstream.end()
                raise UpstreamLostError('cut')
            run.record_bytes()
            run.record_end(200, is_marked=True)

    async def _receive(self, run, ended):
        """Receive bytes of an answer until its upstream ends."""
        while not ended.is_set():
            with trio.move_on_after(BYTES_PAUSE_S):
                await ended.wait()
                return
            run.record_bytes()


@pytest.fixture
async def replay(monkeypatch):
    """Return a function that replays tries and returns what was seen."""
    monkeypatch.setattr(
        upstream_ends,
        'time',
        types.SimpleNamespace(monotonic=trio.current_time),
    )

    async def run(seed, kind, entries=1, end_delay_s=0.05, warm_up_s=3.0):
        async with trio.open_nursery() as nursery:
            made = Replay(random.Random(seed), entries, end_delay_s, nursery)
            monkeypatch.setattr(upstream_ends, 'connect', made.connect)
            await made.run(TRIES[kind], warm_up_s)
            nursery.cancel_scope.cancel()
        return made

    return run


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('kind', TRIES)
async def test_cause_tried_ten_times_a_second_ends_few_upstreams(
    replay, seed, kind, autojump_clock
):
    seen = await replay(seed, kind)
    assert seen.quarantined_at is not None
    assert not seen.accused
    assert len(seen.end_times) <= MAX_ENDS_AT_ONE_ENTRY
    assert not seen.held


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('kind', TRIES)
async def test_entries_that_hear_of_suspects_late_end_few_upstreams(
    replay, seed, kind, autojump_clock
):
    seen = await replay(seed, kind, entries=4, end_delay_s=0.2)
    assert seen.quarantined_at is not None
    assert not seen.accused
    assert len(seen.end_times) <= MAX_ENDS_AT_FOUR_ENTRIES


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('kind', TRIES)
async def test_sound_parts_that_nothing_has_answered_yet_are_not_accused(
    replay, seed, kind, autojump_clock
):
    seen = await replay(seed, kind, warm_up_s=0)
    assert seen.quarantined_at is not None
    assert not seen.accused
    assert len(seen.end_times) <= MAX_ENDS_AT_ONE_ENTRY
    assert seen.held < seen.sound / 50
