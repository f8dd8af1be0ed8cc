"""The subset of upstreams that an entry connects to."""

import random

import attrs
import pytest
import trio

from briarrill.entry import upstreams as upstreams_module
from briarrill.entry.upstreams import MAX_LINKS_PER_POOL, UpstreamSet
from briarrill.state.membership import Membership
from briarrill.state.rendezvous import choose_across_domains
from briarrill.state.settings import InstanceSettings, PortSettings
from briarrill.transport.instance_list import Instance, InstanceState, Role

RUNNER_COUNT = 600
DOMAIN_COUNT = 8


def _runner(number):
    return Instance(
        name=f'runner-{number}',
        host='127.0.0.1',
        failure_domain=f'domain-{number % DOMAIN_COUNT}',
        region='lutruwita',
        roles=(Role.UPSTREAM,),
        pool='drafting',
    )


def _choose_subset(runners, entry='entry-1'):
    """Return the names of the runners that an entry connects to."""
    domains = {}
    for runner in runners:
        domains.setdefault(runner.failure_domain, []).append(runner.name)
    return set(choose_across_domains(entry, domains, MAX_LINKS_PER_POOL))


@pytest.mark.parametrize('seed', range(5))
def test_removed_instance_is_replaced_without_other_changes(seed):
    rng = random.Random(seed)
    runners = [_runner(number) for number in range(RUNNER_COUNT)]
    for entry in ('entry-1', 'entry-2'):
        before = _choose_subset(runners, entry)
        for leaving in rng.sample(runners, 40):
            remaining = [runner for runner in runners if runner is not leaving]
            after = _choose_subset(remaining, entry)
            assert before - after <= {leaving.name}
            assert len(after - before) <= 1


def test_removed_failure_domain_keeps_the_other_domains_upstreams():
    runners = [_runner(number) for number in range(RUNNER_COUNT)]
    removed = {runner.name for runner in runners[::DOMAIN_COUNT]}
    before = _choose_subset(runners)
    after = _choose_subset(
        [runner for runner in runners if runner.name not in removed]
    )
    assert before - after == before & removed
    assert len(after) == MAX_LINKS_PER_POOL


def test_subsets_are_balanced_over_domains_and_cover_all_runners():
    runners = [_runner(number) for number in range(RUNNER_COUNT)]
    covered = set()
    for number in range(350):
        subset = _choose_subset(runners, f'entry-{number}')
        domains = [int(name.split('-')[1]) % DOMAIN_COUNT for name in subset]
        counts = [domains.count(domain) for domain in range(DOMAIN_COUNT)]
        assert max(counts) - min(counts) <= 1
        covered |= subset
    assert len(covered) == RUNNER_COUNT


def test_subset_is_recomputed_only_after_membership_change(monkeypatch):
    calls = []

    def counted_choice(*args):
        calls.append(args)
        return choose_across_domains(*args)

    monkeypatch.setattr(
        upstreams_module, 'choose_across_domains', counted_choice
    )
    runners = tuple(_runner(number) for number in range(RUNNER_COUNT))
    membership = Membership(runners)
    own = InstanceSettings('entry-1', '127.0.0.1', 'domain-0', 'lutruwita')
    upstreams = UpstreamSet(
        membership, own, PortSettings(), lambda _news: None
    )
    for _ in range(100):
        upstreams.serving('m')
    assert len(calls) == 1
    membership.replace_instances(runners[1:])
    upstreams.serving('m')
    upstreams.serving('m')
    assert len(calls) == 2


async def test_link_to_upstream_outside_the_subset_is_closed(
    open_entry, sidecars
):
    """Guards against links that pile up as the membership changes."""
    async with open_entry(sidecars[:1]) as entry:
        link = entry.upstreams.serving('m')[0]
        entry.membership.replace_instances(
            (attrs.evolve(link.instance, state=InstanceState.LEAVING),)
        )
        assert not entry.upstreams.serving('m')
        entry.membership.replace_instances((link.instance,))
        assert entry.upstreams.serving('m') == [link]
        entry.membership.replace_instances(
            (attrs.evolve(link.instance, state=InstanceState.LEAVING),)
        )
        while entry.upstreams.links:
            await trio.sleep(0.05)
