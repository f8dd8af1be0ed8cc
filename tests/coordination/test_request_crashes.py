"""Tests of the quarantine of requests, and a replay of their load.

The replay has several entries that exchange reports, upstreams that end under
some requests and return, and sound requests that share their prompt parts.
"""

import random

import attrs
import pytest

from briarrill.coordination.crash_records import SETTLING_S
from briarrill.coordination.prompt_crashes import (
    MAX_QUARANTINED,
    QUARANTINE_S,
    PromptQuarantine,
    check_quarantine,
)
from briarrill.errors import RequestQuarantinedError
from briarrill.protocol.load_reports import (
    LoadReport,
    decode_report,
    encode_report,
    short_hash,
)
from briarrill.protocol.prompt_news import PromptNews, UpstreamCrash
from briarrill.protocol.request_keys import request_key

# bounds of the deployments
CONTACT_S = 3.0
MAX_LATE_RETRIES = 3

# far below the largest datagram
MAX_REPORT_BYTES = 16_384

TICK_S = 0.01
REPORT_PAUSE_S = 0.45
UPDATE_PAUSE_TICKS = 10
SOUND_IN_TEN_TICKS = 3

# just over the settling time
SETTLED_S = SETTLING_S + 0.001

PARTS = ('first', 'second')


def _key(name):
    return request_key('caller', b'POST', b'/x', name.encode())


BAD = _key('bad')


def _crash(incarnation, *requests):
    return UpstreamCrash(
        short_hash(incarnation), requests=tuple(map(_key, requests))
    )


@pytest.fixture
def clock():
    return [100.0]


@pytest.fixture
def quarantine(clock):
    return PromptQuarantine(lambda: clock[0])


def _record(quarantine, clock, *crashes):
    for number, requests in enumerate(crashes):
        quarantine.record_crash(_crash(f'u{number}', *requests))
    clock[0] += SETTLED_S
    return [found.part for found in quarantine.update()]


def test_request_is_held_from_the_third_crash_and_then_quarantined(
    quarantine, clock
):
    for number in range(3):
        assert quarantine.requests.hold(BAD) is None
        quarantine.record_crash(_crash(f'u{number}', 'bad', f's{number}'))
    hold = quarantine.requests.hold(BAD)
    assert SETTLING_S <= hold.seconds < CONTACT_S
    clock[0] += SETTLED_S
    # before the decision of the next update
    assert quarantine.requests.hold(BAD) is not None
    assert [found.part for found in quarantine.update()] == [BAD]
    assert quarantine.requests.hold(BAD).seconds == QUARANTINE_S
    assert quarantine.requests.hold(_key('s1')) is None
    with pytest.raises(RequestQuarantinedError) as raised:
        check_quarantine(quarantine, PARTS, BAD)
    assert raised.value.retry_after_s == QUARANTINE_S
    clock[0] += QUARANTINE_S + 1
    quarantine.update()
    assert quarantine.requests.hold(BAD) is None


def test_prompt_parts_of_a_request_at_fault_are_not_quarantined(
    quarantine, clock
):
    parts = tuple(map(short_hash, PARTS))
    for number in range(9):
        quarantine.record_crash(
            UpstreamCrash(number, parts[:1], parts[1:], (BAD,))
        )
    clock[0] += SETTLED_S
    assert [found.part for found in quarantine.update()] == [BAD]
    assert quarantine.time_left_s(PARTS) == 0


def test_part_that_ends_upstreams_in_several_requests_is_quarantined(
    quarantine, clock
):
    parts = tuple(map(short_hash, PARTS))
    for number in range(9):
        quarantine.record_crash(
            UpstreamCrash(
                number, parts[:1], parts[1:], (_key(f'{number // 3}'),)
            )
        )
    clock[0] += SETTLED_S
    quarantine.update()
    assert quarantine.time_left_s(PARTS[1:]) > 0
    assert quarantine.time_left_s(PARTS[:1]) == 0


def test_answered_request_is_neither_suspected_nor_quarantined(
    quarantine, clock
):
    quarantine.record_answer((), _key('sound'))
    found = _record(quarantine, clock, *[('bad', 'sound')] * 4)
    assert found == [BAD]
    assert not quarantine.requests.is_suspect(_key('sound'))


def test_answer_at_a_peer_ends_a_suspicion(quarantine, clock):
    assert _record(quarantine, clock, *[('one', 'two')] * 3) == []
    quarantine.apply_news(PromptNews(answered={_key('two'): 1}))
    assert [found.part for found in quarantine.update()] == [_key('one')]


def test_inseparable_requests_run_one_by_one_until_one_ends_an_upstream(
    quarantine, clock
):
    assert _record(quarantine, clock, *[('bad', 'sound')] * 4) == []
    requests = quarantine.requests
    assert requests.hold(BAD) is None
    with requests.runs.counted(short_hash('u8'), BAD):
        # neither at the same upstream, nor at two at the same time
        assert not requests.may_run_at(_key('sound'), 'u8')
        assert requests.may_run_at(_key('sound'), 'u9')
        assert requests.may_run_at(_key('other'), 'u8')
        assert requests.hold(BAD) is not None
        assert requests.hold(_key('sound')) is None
    quarantine.record_crash(_crash('u8', 'bad'))
    clock[0] += SETTLED_S
    assert [found.part for found in quarantine.update()] == [BAD]
    assert requests.hold(_key('sound')) is None
    assert not requests.is_suspect(_key('sound'))


def test_refuted_crashes_do_not_count(quarantine, clock):
    quarantine.record_crash(_crash('u0', 'bad'))
    quarantine.record_crash(_crash('u1', 'bad'))
    quarantine.record_crash(_crash('u2', 'bad'))
    clock[0] += SETTLED_S
    quarantine.record_response('u0', clock[0] - 30)
    assert quarantine.update() == []
    assert quarantine.requests.hold(BAD) is None


def test_process_started_after_a_crash_does_not_refute_it(quarantine, clock):
    for number in range(3):
        quarantine.record_crash(_crash(f'u{number}', 'bad'))
    clock[0] += SETTLED_S
    # the address of the ended upstream answers again
    quarantine.record_response('u0', clock[0] - SETTLED_S / 2)
    quarantine.record_response('u1', clock[0] - SETTLED_S - 0.5)
    assert [found.part for found in quarantine.update()] == [BAD]


def test_memory_and_reports_are_bounded(quarantine, clock):
    for number in range(500):
        names = [f'{number // 4}-{index}' for index in range(60)]
        quarantine.record_crash(_crash(f'u{number}', *names))
        quarantine.record_answer((), _key(f'{number}'))
        clock[0] += 0.5
        quarantine.update()
        news = quarantine.news()
        raw = encode_report(LoadReport('p', 'h', 1, 1, prompt_news=news))
        assert len(raw) < MAX_REPORT_BYTES
    assert quarantine.quarantined_count <= MAX_QUARANTINED


@attrs.define
class Replay:
    """Entries before upstreams that end under some requests."""

    rng: random.Random
    entries: int
    upstreams: int
    repeat_s: float
    bad: tuple = ('bad',)
    now: float = 100.0
    quarantines: list = attrs.field(factory=list)
    up_at: dict = attrs.field(factory=dict)
    starts: dict = attrs.field(factory=dict)
    running: list = attrs.field(factory=list)
    sends: dict = attrs.field(factory=dict)
    crash_times: dict = attrs.field(factory=dict)
    pending: list = attrs.field(factory=list)
    sound_sent: int = 0
    sound_held: int = 0
    sound_accused: set = attrs.field(factory=set)

    def __attrs_post_init__(self):
        self.quarantines = [self.start_entry() for _ in range(self.entries)]
        self.up_at = dict.fromkeys(range(self.upstreams), 0)
        self.starts = dict.fromkeys(range(self.upstreams), 0)

    def start_entry(self):
        return PromptQuarantine(self.clock)

    def clock(self):
        return self.now

    def late_retries(self, name):
        crashes = self.crash_times.get(name, ())
        if len(crashes) < 3:
            return 0
        bound = crashes[2] + CONTACT_S
        return sum(sent_at > bound for sent_at in self.sends[name])

    def incarnation(self, upstream):
        return f'{upstream}/{self.starts[upstream]}'

    def run(self, seconds, restart_at=None):
        ticks = round(seconds / TICK_S)
        next_repeat = {name: self.now + 1 for name in self.bad}
        next_report = [self.now] * self.entries
        for tick in range(ticks):
            self.now += TICK_S
            if restart_at is not None and tick == round(restart_at / TICK_S):
                self.quarantines[0] = self.start_entry()
            self._end_runs()
            self._observe(decides=tick % UPDATE_PAUSE_TICKS == 0)
            for entry, due in enumerate(next_report):
                if self.now >= due:
                    next_report[entry] = self.now + REPORT_PAUSE_S
                    self._report(entry)
            for name in self.bad:
                if self.now >= next_repeat[name]:
                    next_repeat[name] = self.now + self.repeat_s * (
                        self.rng.uniform(0.5, 1.5)
                    )
                    self._send(name, is_bad=True)
            if self.rng.randrange(10) < SOUND_IN_TEN_TICKS:
                self._send(f's{tick}', is_bad=False)
            # a sound one whose caller asks for it again and again, and that
            # is never answered while upstreams end
            if tick % 40 == 0:
                self._send('again', is_bad=False)

    def _report(self, entry):
        news = self.quarantines[entry].news()
        if news is None:
            return
        raw = encode_report(LoadReport('p', 'h', 1, 1, prompt_news=news))
        received = decode_report(raw).prompt_news
        for other, quarantine in enumerate(self.quarantines):
            if other != entry:
                quarantine.apply_news(received)

    def _send(self, name, *, is_bad):
        entry = self.rng.randrange(self.entries)
        quarantine = self.quarantines[entry]
        key = _key(name)
        self.sound_sent += not is_bad
        if quarantine.requests.hold(key) is not None:
            self.sound_held += not is_bad
            return
        free = [
            upstream
            for upstream, up_at in self.up_at.items()
            if self.now >= up_at
            and quarantine.requests.may_run_at(key, self.incarnation(upstream))
        ]
        if not free:
            return
        upstream = self.rng.choice(free)
        incarnation = self.incarnation(upstream)
        counted = quarantine.requests.runs.counted(
            short_hash(incarnation), key
        )
        counted.__enter__()
        duration = 0.05 if is_bad else self.rng.choice((0.05, 0.2, 1.5))
        if is_bad:
            self.sends.setdefault(name, []).append(self.now)
        self.running.append(
            (self.now + duration, name, entry, upstream, incarnation, counted)
        )

    def _end_runs(self):
        due = [run for run in self.running if run[0] <= self.now]
        for run in sorted(due, key=lambda ended: ended[0]):
            if run not in self.running:
                continue
            if run[1] in self.bad:
                self._end_upstream(run[3], run[1])
                continue
            self.running.remove(run)
            run[5].__exit__(None, None, None)
            self.quarantines[run[2]].record_answer(PARTS, _key(run[1]))

    def _end_upstream(self, upstream, name):
        incarnation = self.incarnation(upstream)
        self.crash_times.setdefault(name, []).append(self.now)
        ended = [run for run in self.running if run[4] == incarnation]
        in_flight = {}
        for run in ended:
            self.running.remove(run)
            run[5].__exit__(None, None, None)
            in_flight.setdefault(run[2], []).append(_key(run[1]))
        for entry, keys in in_flight.items():
            crash = UpstreamCrash(
                short_hash(incarnation),
                (short_hash('first'),),
                (short_hash('second'),),
                tuple(keys),
            )
            self.pending.append(
                (self.now + self.rng.uniform(0.1, 0.35), entry, crash)
            )
        self.starts[upstream] += 1
        self.up_at[upstream] = self.now + self.rng.uniform(1, 3)

    def _observe(self, *, decides):
        due = [one for one in self.pending if one[0] <= self.now]
        for one in due:
            self.pending.remove(one)
            self.quarantines[one[1]].record_crash(one[2])
            self._report(one[1])
        if not decides:
            return
        bad_keys = set(map(_key, self.bad))
        for entry, quarantine in enumerate(self.quarantines):
            found = {one.part for one in quarantine.update()}
            self.sound_accused |= found - bad_keys
            if found:
                self._report(entry)


def _check(replay):
    for name in replay.bad:
        assert replay.late_retries(name) <= MAX_LATE_RETRIES
    assert not replay.sound_accused
    assert replay.sound_held < replay.sound_sent / 50


@pytest.mark.parametrize('repeat_s', [0.02, 0.1, 0.5, 3.0])
@pytest.mark.parametrize('seed', range(5))
def test_replayed_repeats_end_in_time_and_sound_requests_are_served(
    seed, repeat_s
):
    replay = Replay(random.Random(seed), 4, 6, repeat_s)
    replay.run(20 + 5 * repeat_s)
    assert len(replay.crash_times['bad']) >= 3
    _check(replay)


@pytest.mark.parametrize('seed', range(5))
def test_several_requests_at_fault_are_all_found(seed):
    replay = Replay(
        random.Random(seed), 4, 6, 0.4, bad=('bad', 'worse', 'worst')
    )
    replay.run(30)
    _check(replay)


@pytest.mark.parametrize('seed', range(5))
@pytest.mark.parametrize('restart_at', [2, 5, 9])
def test_entry_that_starts_again_sends_no_more_of_them(seed, restart_at):
    replay = Replay(random.Random(seed), 4, 6, 1.0)
    replay.run(20, restart_at)
    _check(replay)


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('entries', [1, 40])
def test_one_entry_and_many_hold_it_back_alike(seed, entries):
    replay = Replay(random.Random(seed), entries, 3, 0.3)
    replay.run(15)
    _check(replay)
