"""Tests of holding back prompt parts until the decision."""

import pytest

from briarrill.coordination.crash_records import SETTLING_S
from briarrill.coordination.prompt_crashes import (
    QUARANTINE_S,
    PromptQuarantine,
    check_quarantine,
    may_run_at,
)
from briarrill.errors import PromptQuarantinedError
from briarrill.protocol.load_reports import short_hash
from briarrill.protocol.prompt_news import PromptNews, UpstreamCrash
from briarrill.protocol.request_keys import request_key

BAD = ('first', 'bad')
SOUND = ('first', 'sound')

REQUEST = request_key('caller', b'POST', b'/x', b'')

# just over the settling time
SETTLED_S = SETTLING_S + 0.001


@pytest.fixture
def clock():
    return [100.0]


@pytest.fixture
def quarantine(clock):
    quarantine = PromptQuarantine(lambda: clock[0])
    quarantine.record_answer(('first',))
    return quarantine


def _crash(quarantine, number, *parts):
    quarantine.record_crash(
        UpstreamCrash(
            number, (short_hash('first'),), tuple(map(short_hash, parts))
        )
    )


def test_suspected_part_runs_at_one_upstream_at_a_time(quarantine):
    _crash(quarantine, 1, 'bad')
    upstream = short_hash('u8')
    with quarantine.runs.counted(upstream, short_hash('bad')):
        assert quarantine.parts.hold(BAD) is None
        _crash(quarantine, 2, 'bad')
        assert 0 < quarantine.parts.hold(BAD).seconds < SETTLING_S
        assert quarantine.parts.hold(SOUND) is None
    assert quarantine.parts.hold(BAD) is None
    quarantine.apply_news(
        PromptNews(suspects=((upstream, short_hash('bad')),))
    )
    assert quarantine.parts.hold(BAD) is not None


def test_suspected_parts_and_requests_run_at_different_upstreams(quarantine):
    for number in range(2):
        _crash(quarantine, number, 'bad', 'sound')
        quarantine.record_crash(UpstreamCrash(number, requests=(REQUEST,)))
    with quarantine.runs.counted(short_hash('u8'), short_hash('bad')):
        assert not may_run_at(quarantine, SOUND, 0, 'u8')
        assert not may_run_at(quarantine, (), REQUEST, 'u8')
        assert may_run_at(quarantine, SOUND, 0, 'u9')
        assert may_run_at(quarantine, ('first', 'other'), 0, 'u8')


def test_part_is_held_from_the_third_crash_until_its_quarantine(
    quarantine, clock
):
    for number in range(3):
        check_quarantine(quarantine, BAD, 0)
        _crash(quarantine, number, 'bad')
    with pytest.raises(PromptQuarantinedError) as raised:
        check_quarantine(quarantine, BAD, 0)
    assert SETTLING_S <= raised.value.retry_after_s < QUARANTINE_S
    clock[0] += SETTLED_S
    # before the decision of the next update
    assert quarantine.parts.hold(BAD) is not None
    assert [one.part for one in quarantine.update()] == [short_hash('bad')]
    assert quarantine.parts.hold(BAD).seconds == QUARANTINE_S
    assert quarantine.parts.hold(SOUND) is None
    clock[0] += QUARANTINE_S + 1
    assert quarantine.parts.hold(BAD) is None
    quarantine.update()
    assert not quarantine.parts.may_hold


@pytest.mark.parametrize('is_told', [False, True])
def test_answer_ends_suspicion_and_hold_at_once(quarantine, is_told):
    for number in range(3):
        _crash(quarantine, number, 'sound')
    assert quarantine.parts.hold(SOUND) is not None
    if is_told:
        quarantine.apply_news(PromptNews(answered={short_hash('sound'): 0}))
    else:
        quarantine.record_answer(SOUND)
    assert quarantine.parts.hold(SOUND) is None
    assert not quarantine.parts.is_suspect(SOUND)


def test_upstream_found_alive_ends_suspicion_and_hold_at_once(quarantine):
    for number in range(2):
        _crash(quarantine, number, 'sound')
    assert quarantine.parts.is_suspect(SOUND)
    quarantine.apply_news(PromptNews(alive=(0,)))
    assert not quarantine.parts.is_suspect(SOUND)


def test_sound_part_with_the_same_ends_is_spared_by_the_next_end(
    quarantine, clock
):
    for number in range(3):
        _crash(quarantine, number, 'bad', 'sound')
    assert quarantine.parts.hold(BAD) is None
    clock[0] += SETTLED_S / 2
    _crash(quarantine, 3, 'bad')
    assert quarantine.parts.hold(BAD) is not None
    assert quarantine.parts.hold(SOUND) is None
    found = []
    for _ in range(4):
        clock[0] += SETTLED_S / 2
        found.extend(one.part for one in quarantine.update())
    assert found == [short_hash('bad')]
    assert quarantine.parts.hold(SOUND) is None
