"""Tests of the sums over peers' reports, their timeouts and forwarding."""

import collections
import itertools

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from briarrill.coordination import peer_reports
from briarrill.coordination.peer_reports import PeerReports
from briarrill.protocol.load_reports import LoadReport, short_hash


def _report(name, *unheard, sequence=1, **fields):
    process_hashes = tuple(map(short_hash, unheard))
    return LoadReport(
        name, f'host-{name}', 1, sequence, unheard=process_hashes, **fields
    )


def _peer_reports(own, *reports):
    peers = PeerReports(own)
    for report in reports:
        assert peers.store(report, is_direct=True)
    return peers


def test_load_sums_the_newest_reports_of_live_peers():
    peers = _peer_reports(
        'a',
        _report('b', online={'x': 2}, batch={'y': 1}, suspects=('z',)),
        _report('c', online={'x': 1}, batch={'y': 4}),
    )
    assert peers.load.online == {'x': 3}
    assert peers.load.batch == {'y': 5}
    assert peers.load.suspects == {'z': 1}
    peers.store(_report('b', sequence=2), is_direct=True)
    assert peers.load.online == {'x': 1}
    assert not peers.load.suspects


def test_repeated_report_is_rejected_and_counted_once():
    peers = _peer_reports('a', _report('b', online={'x': 2}))
    assert not peers.store(_report('b', online={'x': 2}), is_direct=True)
    assert peers.load.online == {'x': 2}


_COUNTS = st.dictionaries(st.sampled_from('xyz'), st.integers(1, 3))


@given(st.lists(st.tuples(st.sampled_from('bcd'), _COUNTS, _COUNTS)))
def test_sums_after_any_reports_match_the_newest_ones(reports_sent):
    peers = PeerReports('a')
    newest = {}
    for sequence, (name, online, batch) in enumerate(reports_sent):
        report = _report(name, sequence=sequence, online=online, batch=batch)
        peers.store(report, is_direct=True)
        newest[name] = report
    assert peers.load.reports == newest
    for field in ('online', 'batch'):
        total = collections.Counter()
        for report in newest.values():
            total.update(getattr(report, field))
        assert getattr(peers.load, field) == total


def test_each_report_leaves_the_sum_at_its_own_timeout(monkeypatch):
    now = 100.0
    monkeypatch.setattr(peer_reports.time, 'monotonic', lambda: now)
    peers = _peer_reports('a', _report('b', online={'x': 2}))
    now += peer_reports.PEER_TIMEOUT_S / 2
    peers.store(_report('c', online={'x': 3}), is_direct=True)
    assert peers.load.online == {'x': 5}
    now += peer_reports.PEER_TIMEOUT_S / 2
    assert peers.load.online == {'x': 3}


def test_items_of_a_silent_process_hold_slots_until_the_orphan_timeout(
    monkeypatch,
):
    """A host without power closes no connections, so its items run on."""
    now = 100.0
    monkeypatch.setattr(peer_reports.time, 'monotonic', lambda: now)
    peers = _peer_reports('a', _report('b', online={'x': 2}, batch={'x': 7}))
    now += peer_reports.PEER_TIMEOUT_S
    assert not peers.load.reports
    assert (peers.load.online['x'], peers.load.batch['x']) == (7, 0)
    restarted = attrs.evolve(_report('b', batch={'x': 1}), incarnation=2)
    peers.store(restarted, is_direct=True)
    assert (peers.load.online['x'], peers.load.batch['x']) == (7, 1)
    now = 100.0 + peer_reports.ORPHAN_TIMEOUT_S
    peers.store(attrs.evolve(restarted, sequence=2), is_direct=True)
    assert (peers.load.online['x'], peers.load.batch['x']) == (0, 1)


def test_items_of_a_process_that_resumes_are_counted_once(monkeypatch):
    now = 100.0
    monkeypatch.setattr(peer_reports.time, 'monotonic', lambda: now)
    peers = _peer_reports('a', _report('b', batch={'x': 7}))
    now += peer_reports.PEER_TIMEOUT_S
    assert peers.load.online['x'] == 7
    peers.store(_report('b', sequence=2, batch={'x': 6}), is_direct=True)
    assert (peers.load.online['x'], peers.load.batch['x']) == (0, 6)


def test_process_that_announced_shutdown_holds_no_slots(monkeypatch):
    now = 100.0
    monkeypatch.setattr(peer_reports.time, 'monotonic', lambda: now)
    peers = _peer_reports('a', _report('b', batch={'x': 7}, is_leaving=True))
    now += peer_reports.PEER_TIMEOUT_S
    assert not peers.load.online
    assert not peers.load.batch


def test_host_of_a_silent_process_is_removed_after_the_expiry_time(
    monkeypatch,
):
    now = 100.0
    monkeypatch.setattr(peer_reports.time, 'monotonic', lambda: now)
    peers = _peer_reports('a', _report('b'))
    now += peer_reports.PEER_EXPIRY_S
    assert not peers.load.reports
    assert peers.hosts == {'host-b'}
    now += 1
    assert not peers.hosts


def _hear_again(monkeypatch, peers, after_s, *reports):
    """Store the reports once more after some time."""
    later = peer_reports.time.monotonic() + after_s + 0.01
    monkeypatch.setattr(peer_reports.time, 'monotonic', lambda: later)
    for report in reports:
        peers.store(
            attrs.evolve(report, sequence=report.sequence + 1), is_direct=True
        )


def test_report_across_a_cut_link_is_forwarded_by_one_process(monkeypatch):
    """The link between a and b is cut; c and d receive from both."""
    relays = []
    for own, other in (('c', 'd'), ('d', 'c')):
        reports = _report('a', 'b'), _report('b', 'a'), _report(other)
        peers = _peer_reports(own, *reports)
        _hear_again(monkeypatch, peers, peer_reports.RELAY_DELAY_S, *reports)
        relays.append(peers.relay_hosts(_report('a', 'b')))
    assert sorted(relays) == [[], ['host-b']]


def test_report_is_not_forwarded_by_a_process_without_one_of_the_links(
    monkeypatch,
):
    """Only e hears both ends, so the first in the ranking must not."""
    for own, unheard in (('c', ['a']), ('e', [])):
        reports = [
            _report('a', 'b'),
            _report('b', 'a'),
            _report('d', 'b'),
            *([_report('c', 'a')] if own == 'e' else []),
        ]
        if unheard:
            reports = [report for report in reports if report.process != 'a']
        peers = _peer_reports(own, *reports)
        _hear_again(monkeypatch, peers, peer_reports.RELAY_DELAY_S, *reports)
        expected = ['host-b'] if own == 'e' else []
        assert peers.relay_hosts(_report('a', 'b')) == expected


def test_restarted_process_causes_no_relays_of_its_first_reports(
    monkeypatch,
):
    """All peers list it as unheard until they have sent their next report."""
    names = [f'p{number}' for number in range(40)]
    peers = _peer_reports('own', *(_report(name, 'a') for name in names))
    assert peers.store(_report('a'), is_direct=True)
    assert peers.relay_hosts(_report('a')) == []
    _hear_again(
        monkeypatch,
        peers,
        peer_reports.RELAY_DELAY_S,
        _report('a'),
        *(_report(name) for name in names),
    )
    assert peers.relay_hosts(_report('a')) == []


@pytest.mark.parametrize('count', [88, 350, 1300])
def test_work_of_a_report_does_not_grow_while_many_start(count, monkeypatch):
    """A third of the processes are known and have not been heard yet."""
    peers = PeerReports('own')
    names = [f'p{number}' for number in range(count)]
    for name in names:
        peers.update_member(name, is_registered=True)
    late = tuple(map(short_hash, names[::3]))
    for name in names:
        if short_hash(name) not in late:
            peers.store(
                attrs.evolve(_report(name), unheard=late), is_direct=True
            )
    rankings = []
    monkeypatch.setattr(
        peer_reports,
        'rank_nodes',
        lambda key, nodes: rankings.append(key) or sorted(nodes),
    )
    for name in names:
        report = _report(name, sequence=2)
        peers.store(report, is_direct=True)
        assert peers.relay_hosts(report) == []
    assert rankings == []


def test_processes_not_heard_for_the_timeout_are_reported(monkeypatch):
    now = 100.0
    monkeypatch.setattr(peer_reports.time, 'monotonic', lambda: now)
    peers = _peer_reports('a', _report('b'))
    peers.update_member('b', is_registered=True)
    peers.update_member('c', is_registered=True)
    assert peers.unheard_hashes == ()
    now += peer_reports.PEER_TIMEOUT_S + 0.1
    assert set(peers.unheard_hashes) == {short_hash('b'), short_hash('c')}
    peers.store(_report('b', sequence=2), is_direct=True)
    peers.store(_report('c'), is_direct=False)
    assert peers.unheard_hashes == (short_hash('c'),)
    peers.update_member('c', is_registered=False)
    now += peer_reports.PEER_EXPIRY_S + 1
    assert not peers.hosts
    # it is still registered
    assert peers.unheard_hashes == (short_hash('b'),)


def test_relay_hosts_with_a_peer_that_times_out_meanwhile(monkeypatch):
    """A timeout removes a report from the sums while they are iterated."""
    now = 100.0
    monkeypatch.setattr(peer_reports.time, 'monotonic', lambda: now)
    peers = _peer_reports('a', _report('b'))
    assert set(peers.load.reports) == {'b'}
    now += peer_reports.PEER_TIMEOUT_S / 2
    sender = _report('c')
    for report in (sender, _report('d', 'c')):
        peers.store(report, is_direct=True)
    # the first reading is before the timeout of 'b', the others are after it
    readings = itertools.count(99.9999 + peer_reports.PEER_TIMEOUT_S, 0.0009)
    monkeypatch.setattr(peer_reports.time, 'monotonic', lambda: next(readings))
    assert 'host-d' in peers.relay_hosts(sender)


def test_process_that_restarts_with_an_earlier_clock_is_heard(monkeypatch):
    now = 100.0
    monkeypatch.setattr(peer_reports.time, 'monotonic', lambda: now)
    before = attrs.evolve(_report('b', sequence=500), incarnation=9)
    peers = _peer_reports('a', attrs.evolve(before, online={'x': 2}))
    first, second = (
        attrs.evolve(_report('b', sequence=sequence), incarnation=3)
        for sequence in (1, 2)
    )
    # one that is late
    assert not peers.store(first, is_direct=True)
    now += peer_reports.PEER_TIMEOUT_S
    assert peers.store(first, is_direct=True)
    assert peers.store(second, is_direct=True)
    assert peers.reachable == [second]
    assert not peers.load.online
    assert not peers.store(first, is_direct=True)


@pytest.mark.parametrize(('incarnation', 'is_direct'), [(9, True), (3, False)])
def test_late_report_of_a_silent_process_is_not_taken(
    monkeypatch, incarnation, is_direct
):
    now = 100.0
    monkeypatch.setattr(peer_reports.time, 'monotonic', lambda: now)
    newest = attrs.evolve(_report('b', sequence=500), incarnation=9)
    peers = _peer_reports('a', newest)
    now += peer_reports.PEER_TIMEOUT_S
    late = attrs.evolve(_report('b', sequence=499), incarnation=incarnation)
    assert not peers.store(late, is_direct=is_direct)
