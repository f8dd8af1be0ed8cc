"""Tests of the pace of load reports, on virtual time."""

import collections

import pytest
import trio

from briarrill.coordination.peer_reports import PEER_TIMEOUT_S
from briarrill.coordination.report_sender import ReportSender
from briarrill.protocol.load_reports import LoadReport, decode_report

LENGTH_S = 20


class _Socket:
    """Records when datagrams are sent to each host."""

    def __init__(self):
        self.sent = collections.defaultdict(list)
        self.reports = collections.defaultdict(list)

    def sendto(self, raw, address):
        self.sent[address[0]].append(trio.current_time())
        self.reports[address[0]].append(decode_report(raw))


async def _send_for_a_while(hosts, batch_hosts, interval_s, schedule):
    """Run a sender while changes come at an interval; return its socket."""
    sock = _Socket()
    report = LoadReport('a', 'host-a', 1, 1, items=(1, 2))
    sender = ReportSender(
        1, lambda: report, lambda: set(hosts), lambda: set(batch_hosts)
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(sender.run, sock)
        ends_at = trio.current_time() + LENGTH_S
        while trio.current_time() < ends_at:
            schedule(sender)
            await trio.sleep(interval_s)
        nursery.cancel_scope.cancel()
    return sock


def _hosts(count):
    return [f'host-{number}' for number in range(count)]


@pytest.mark.parametrize(('count', 'most_per_s'), [(4, 25), (22, 19), (87, 4)])
async def test_rate_falls_with_the_number_of_peers(
    autojump_clock, count, most_per_s
):
    """Changes come faster than reports are sent."""
    sock = await _send_for_a_while(
        _hosts(count), [], 0.005, lambda sender: sender.schedule()
    )
    for times in sock.sent.values():
        assert 1 < len(times) / LENGTH_S <= most_per_s


@pytest.mark.parametrize('count', [4, 87, 350])
@pytest.mark.parametrize('interval_s', [0.005, 100])
async def test_one_lost_report_does_not_time_out_a_peer(
    autojump_clock, count, interval_s
):
    sock = await _send_for_a_while(
        _hosts(count), [], interval_s, lambda sender: sender.schedule()
    )
    for times in sock.sent.values():
        gaps = [
            later - earlier
            for earlier, later in zip(times, times[2:], strict=False)
        ]
        assert max(gaps) < PEER_TIMEOUT_S


async def test_urgent_reports_go_to_batch_processes_only(autojump_clock):
    hosts = _hosts(87)
    sock = await _send_for_a_while(
        hosts, hosts[:2], 0.05, lambda sender: sender.schedule_urgent()
    )
    for host in hosts:
        per_s = len(sock.sent[host]) / LENGTH_S
        assert (per_s > 15) == (host in hosts[:2])
    assert {len(report.items) for report in sock.reports[hosts[0]]} == {2}
    assert {len(report.items) for report in sock.reports[hosts[-1]]} == {0}
