"""Tests of sharing what began streams, and a replay of its load.

The replay has entries that are killed, frozen or cut off from some peers while
upstreams of one version are replaced by those of another.
"""

import random

import attrs
import pytest
import trio

from briarrill.coordination.origin_sharing import (
    ASKED_PEERS,
    TOLD_PEERS,
    OriginSharing,
)
from briarrill.coordination.stream_versions import infer_origin
from briarrill.protocol.load_reports import LoadReport
from briarrill.protocol.stream_origins import (
    OriginReply,
    StreamOrigin,
    decode_origin,
)

V1 = StreamOrigin('v1', 'llm')

DOMAINS = 3

# little against the latency objective of a request
MAX_WAIT_S = 0.2

# shorter than any wait for a reply
NO_WAIT_S = 0.01

# of the streams taken up while their version serves, in the deployments' rule
MIN_RESUMED_SHARE = 0.5


@attrs.define
class Network:
    """Processes that exchange datagrams.

    :param silent: processes that receive nothing and send nothing.
    :param cut: pairs of processes whose datagrams are lost.
    """

    size: int
    silent: set = attrs.field(factory=set)
    cut: set = attrs.field(factory=set)
    sent: int = 0
    nodes: dict = attrs.field(factory=dict)

    def __attrs_post_init__(self):
        for number in range(self.size):
            self.start(f'p{number}')

    def start(self, name):
        node = OriginSharing(
            name,
            reports=lambda: self.reports_at(name),
            send=lambda raw, host: self.send(name, raw, host),
        )
        node.failure_domain = self.domain(name)
        self.nodes[name] = node

    def domain(self, name):
        return f'd{int(name[1:]) % DOMAINS}'

    def reports_at(self, name):
        return {
            other: LoadReport(
                other, other, 1, 1, failure_domain=self.domain(other)
            )
            for other in self.nodes
            if other != name and not self.is_lost(name, other)
        }

    def is_lost(self, sender, receiver):
        ends = {sender, receiver}
        return not ends.isdisjoint(self.silent) or frozenset(ends) in self.cut

    def send(self, sender, raw, receiver):
        self.sent += 1
        if not self.is_lost(sender, receiver):
            self.nodes[receiver].receive(decode_origin(raw), sender)


@pytest.mark.parametrize('size', [2, 7, 88, 350])
async def test_messages_of_a_stream_do_not_grow_with_the_fleet(
    size, autojump_clock
):
    network = Network(size)
    streams = 20
    for stream in range(streams):
        network.nodes['p0'].tell(stream, V1)
    assert network.sent <= streams * TOLD_PEERS
    network.sent = 0
    for stream in range(streams):
        assert await network.nodes['p1'].find(stream) == V1
    assert network.sent <= streams * 2 * ASKED_PEERS


async def test_origin_is_found_after_the_process_that_told_it_ended(
    autojump_clock,
):
    network = Network(7)
    for stream in range(50):
        network.nodes['p0'].tell(stream, V1)
    network.silent.add('p0')
    for stream in range(50):
        for name in ('p1', 'p4', 'p6'):
            assert await network.nodes[name].find(stream) == V1


async def test_process_that_hears_no_peer_finds_nothing_at_once(
    autojump_clock,
):
    network = Network(7)
    network.cut |= {frozenset(('p3', f'p{number}')) for number in range(7)}
    network.nodes['p0'].tell(1, V1)
    with trio.fail_after(NO_WAIT_S):
        assert await network.nodes['p3'].find(1) is None


async def test_peers_that_do_not_reply_are_waited_for_briefly(autojump_clock):
    network = Network(7)
    sharing = network.nodes['p3']
    sharing.reports = lambda: Network(7).reports_at('p3')
    network.silent.add('p3')
    with trio.fail_after(MAX_WAIT_S):
        assert await sharing.find(1) is None


async def test_stream_that_no_process_began_is_unknown(autojump_clock):
    network = Network(7)
    with trio.fail_after(NO_WAIT_S):
        assert await network.nodes['p3'].find(1) is None


async def test_late_reply_to_the_process_before_names_no_version(
    autojump_clock,
):
    """A peer that fell silent answers a process that was killed meanwhile."""
    reports = Network(2).reports_at('p0')
    asked = []
    before = OriginSharing(
        'p0',
        reports=lambda: reports,
        send=lambda raw, host: asked.append(decode_origin(raw)),
    )
    for stream in range(3):
        assert await before.find(stream) is None

    def reply_late(_raw, host):
        for question in asked:
            late = OriginReply(question.number, is_known=True, version='v1')
            restarted.receive(late, host)

    restarted = OriginSharing('p0', reports=lambda: reports, send=reply_late)
    for stream in range(3, 6):
        assert await restarted.find(stream) is None


@attrs.define
class Replay:
    """A rolling release under entries that are interrupted."""

    rng: random.Random
    size: int
    resumed: int = 0
    taken_up: int = 0
    mixed: int = 0

    async def run(self, streams):
        network = Network(self.size)
        for stream in range(streams):
            # the versions that serve at this time of the release
            versions = ['v1'] if stream < streams // 10 else ['v1', 'v2']
            began = StreamOrigin(self.rng.choice(versions))
            entry, other = self.rng.sample(sorted(network.nodes), 2)
            network.nodes[entry].tell(stream, began)
            self._interrupt(network, entry)
            found = infer_origin(
                await network.nodes[other].find(stream),
                set(map(StreamOrigin, versions)),
                is_complete=bool(self.rng.randrange(10)),
            )
            self.taken_up += 1
            self.resumed += found == began
            self.mixed += found.version is not None and found != began

    def _interrupt(self, network, entry):
        """Kill, freeze or cut off an entry, or let all go on."""
        network.silent.clear()
        network.cut.clear()
        kind = self.rng.choice(('kill', 'freeze', 'cut', 'none'))
        if kind == 'kill':
            network.start(entry)
        elif kind == 'freeze':
            network.silent.add(entry)
        elif kind == 'cut':
            network.cut |= {
                frozenset((entry, name))
                for name in network.nodes
                if self.rng.choice((True, False))
            }


@pytest.mark.parametrize('size', [3, 7, 40])
@pytest.mark.parametrize('seed', range(3))
async def test_replayed_release_mixes_no_versions_and_resumes_streams(
    seed, size, autojump_clock
):
    replay = Replay(random.Random(seed), size)
    await replay.run(300)
    assert replay.mixed == 0
    assert replay.resumed / replay.taken_up > MIN_RESUMED_SHARE
