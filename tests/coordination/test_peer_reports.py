"""Tests of the sums over peers' reports, their timeouts and forwarding."""

import collections
import itertools

import attrs
from hypothesis import given
from hypothesis import strategies as st

from briarrill.coordination import peer_reports
from briarrill.coordination.peer_reports import PeerReports
from briarrill.protocol.load_reports import LoadReport, short_hash


def _report(name, *heard, sequence=1, **fields):
    process_hashes = tuple(map(short_hash, heard))
    return LoadReport(
        name, f'host-{name}', 1, sequence, heard=process_hashes, **fields
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


def test_report_across_a_cut_link_is_forwarded_by_one_process():
    """The link between a and b is cut; c and d receive from both."""
    relays = []
    for own, other in (('c', 'd'), ('d', 'c')):
        peers = _peer_reports(
            own,
            _report('a', 'c', 'd'),
            _report('b', 'c', 'd'),
            _report(other, 'a', 'b', own),
        )
        relays.append(peers.relay_hosts(_report('a', 'c', 'd')))
    assert sorted(relays) == [[], ['host-b']]


def test_report_is_not_forwarded_when_all_receive_it_directly():
    peers = _peer_reports('c', _report('a', 'b', 'c'), _report('b', 'a', 'c'))
    assert peers.relay_hosts(_report('a', 'b', 'c')) == []


def test_relay_hosts_with_a_peer_that_times_out_meanwhile(monkeypatch):
    """A timeout removes a report from the sums while they are iterated."""
    now = 100.0
    monkeypatch.setattr(peer_reports.time, 'monotonic', lambda: now)
    peers = _peer_reports('a', _report('b'))
    assert set(peers.load.reports) == {'b'}
    now += peer_reports.PEER_TIMEOUT_S / 2
    sender = _report('c')
    for report in (sender, _report('d')):
        peers.store(report, is_direct=True)
    # the first reading is before the timeout of 'b', the others are after it
    readings = itertools.count(99.9999 + peer_reports.PEER_TIMEOUT_S, 0.0009)
    monkeypatch.setattr(peer_reports.time, 'monotonic', lambda: next(readings))
    assert 'host-d' in peers.relay_hosts(sender)
