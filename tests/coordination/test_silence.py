"""Tests of the detection of unresponsive upstreams and its effects."""

import random

from briarrill.coordination.load_exchange import LoadExchange
from briarrill.coordination.placement import (
    UpstreamCandidate,
    choose_candidate,
)
from briarrill.coordination.silence import (
    DOUBT_S,
    MAX_SILENCE_S,
    MAX_STREAM_SILENCE_S,
    PROBE_PAUSE_S,
    SUSPICION_EXPIRY_S,
    SilenceDetector,
    SilenceRows,
)
from briarrill.errors import (
    OverloadedError,
    PeerSilentError,
    PeerUnreachableError,
    UpstreamLostError,
    UpstreamSilentError,
)
from briarrill.protocol.load_reports import LoadReport


class Clock:
    now = 100.0

    def __call__(self):
        return self.now


def test_upstream_with_a_silent_stream_is_suspected_until_its_next_bytes():
    clock = Clock()
    detector = SilenceDetector(clock)
    with detector.track_stream('i-1'):
        clock.now += MAX_STREAM_SILENCE_S / 2
        detector.record_bytes('i-1')
        clock.now += MAX_STREAM_SILENCE_S * 0.9
        assert detector.suspects == ()
        clock.now += MAX_STREAM_SILENCE_S
        assert detector.suspects == ('i-1',)
        detector.record_bytes('i-1')
        assert detector.suspects == ()


def test_upstream_without_an_open_stream_is_not_suspected():
    clock = Clock()
    detector = SilenceDetector(clock)
    with detector.track_stream('i-1'):
        detector.record_bytes('i-1')
    clock.now += 10 * MAX_STREAM_SILENCE_S
    assert detector.suspects == ()


def test_times_of_upstreams_without_streams_are_removed():
    clock = Clock()
    detector = SilenceDetector(clock)
    for number in range(20):
        with detector.track_stream(f'i-{number}'):
            clock.now += SUSPICION_EXPIRY_S
    assert len(detector._last_bytes_at) <= 2


def test_suspicion_without_new_evidence_expires():
    clock = Clock()
    detector = SilenceDetector(clock)
    detector.mark_suspect('i-1')
    assert detector.suspects == ('i-1',)
    clock.now += SUSPICION_EXPIRY_S + 0.1
    assert detector.suspects == ()


def test_suspicion_of_a_peer_counts_unless_bytes_arrived_locally():
    exchange = LoadExchange('a', '127.0.0.1', 0, (), lambda report: report)
    exchange.receive_report(
        LoadReport('b', '127.0.0.2', 1, 1, suspects=('i-1',))
    )
    assert exchange.is_suspect('i-1')
    assert not exchange.is_suspect('i-2')
    exchange.silence.record_bytes('i-1')
    assert not exchange.is_suspect('i-1')


def test_placement_chooses_a_suspect_only_when_all_are_suspected():
    suspect = UpstreamCandidate('silent', 8, 0, 0, is_suspect=True)
    busy = UpstreamCandidate('busy', 8, 12, 0)
    rng = random.Random(1)
    assert choose_candidate([suspect, busy], rng, 0.1, 0.3) is busy
    assert choose_candidate([suspect], rng, 0.1, 0.3) is suspect


def _silent_detector(clock):
    """Return a detector that suspects ``i-1``, whose calls were moved."""
    detector = SilenceDetector(clock)
    with detector.track_stream('i-1'):
        clock.now += 2 * MAX_STREAM_SILENCE_S
        assert detector.suspects == ('i-1',)
    return detector


def test_reply_ends_the_suspicion_of_a_silent_upstream():
    detector = _silent_detector(Clock())
    assert detector.record_reply('i-1')
    assert detector.suspects == ()
    assert not detector.record_reply('i-1')


def test_reply_ends_no_suspicion_while_a_stream_is_silent():
    clock = Clock()
    detector = SilenceDetector(clock)
    with detector.track_stream('i-1'):
        clock.now += 2 * MAX_STREAM_SILENCE_S
        assert detector.suspects == ('i-1',)
        assert not detector.record_reply('i-1')
        assert detector.suspects == ('i-1',)
        assert detector.due_probes(8) == []


def test_reply_does_not_end_the_suspicion_of_lost_responses():
    """Such an upstream sends sound heads, and breaks what follows."""
    detector = SilenceDetector(Clock())
    detector.mark_silent('i-1')
    detector.mark_suspect('i-1')
    detector.mark_silent('i-1')
    assert not detector.record_reply('i-1')
    assert detector.due_probes(8) == []
    with detector.track_stream('i-1'):
        assert detector.suspects == ('i-1',)
        detector.record_bytes('i-1')
        assert detector.suspects == ()


def test_reply_of_an_upstream_that_falls_silent_again_ends_nothing():
    """One that answers probes and no requests is tried once, not always."""
    clock = Clock()
    detector = SilenceDetector(clock)
    detector.mark_silent('i-1')
    assert detector.record_reply('i-1')
    for _ in range(10):
        detector.mark_silent('i-1')
        assert not detector.record_reply('i-1')
        clock.now += SUSPICION_EXPIRY_S + 0.1
        assert detector.suspects == ()
    detector.mark_silent('i-1')
    detector.record_bytes('i-1')
    detector.mark_silent('i-1')
    assert detector.record_reply('i-1')
    clock.now += DOUBT_S + 0.1
    detector.mark_silent('i-1')
    assert detector.record_reply('i-1')


def test_silent_upstream_is_probed_at_a_bounded_rate_until_it_expires():
    clock = Clock()
    detector = SilenceDetector(clock)
    detector.mark_silent('i-1')
    assert detector.due_probes(8) == []
    probes = 0
    for _ in range(100):
        clock.now += PROBE_PAUSE_S / 5
        probes += len(detector.due_probes(8))
    assert 6 <= probes <= SUSPICION_EXPIRY_S / PROBE_PAUSE_S


def test_probes_of_many_silent_upstreams_are_limited():
    clock = Clock()
    detector = SilenceDetector(clock)
    for number in range(300):
        detector.mark_silent(f'i-{number}')
    clock.now += PROBE_PAUSE_S
    assert len(detector.due_probes(8)) == 8
    assert len(set(detector.due_probes(8)) - {'i-0'}) == 8
    assert detector.due_probes(0) == []


def test_attempts_that_fail_in_one_silence_count_as_one():
    clock = Clock()
    rows = SilenceRows(clock)
    silent = UpstreamSilentError('')
    assert rows.is_failure('i-1', silent)
    assert not rows.is_failure('i-1', silent)
    assert not rows.is_failure('i-1', PeerSilentError(''))
    assert rows.is_failure('i-2', silent)
    clock.now += MAX_SILENCE_S + 0.1
    assert rows.is_failure('i-1', silent)


def test_each_attempt_that_is_broken_off_counts():
    rows = SilenceRows(Clock())
    for _ in range(3):
        assert rows.is_failure('i-1', UpstreamLostError(''))
        assert rows.is_failure('i-1', PeerUnreachableError(''))
        assert not rows.is_failure('i-1', OverloadedError(''))
