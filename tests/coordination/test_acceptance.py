"""Tests of writing configuration versions.

Each accepted version is in the history exactly once, under lost replies,
delayed writes, outages and concurrent operators.
"""

import random

import pytest
import trio
from hypothesis import settings, stateful
from hypothesis import strategies as st
from trio.testing import MockClock

from briarrill.coordination.acceptance import (
    accept_version,
    read_head,
    read_history,
)
from briarrill.coordination.configuration import (
    ConfigHolder,
    decode_config_record,
)
from briarrill.errors import (
    ConfigurationError,
    PlatformUnavailableError,
    VersionConflictError,
    WriteUnknownError,
)
from briarrill.state.contracts import Configuration, Contract, Policy
from briarrill.state.keys import CONFIG_HEAD_KEY, config_version_key
from standins.memory_key_value import MemoryKeyValue

MODULE = 'briarrill.coordination.acceptance'


async def _accept_weight(service, base, weight=0.5, author='a'):
    cfg = Configuration(policy=Policy(online_weight=weight))
    raw = await accept_version(service, cfg, base, author=author, created_at=0)
    return decode_config_record(raw)


async def test_version_conflict_lists_the_author_and_changes():
    service = MemoryKeyValue()
    await _accept_weight(service, 0, 0.1)
    await _accept_weight(service, 1, 0.2, author='mira')
    with pytest.raises(VersionConflictError) as raised:
        await _accept_weight(service, 1, 0.3)
    assert 'the newest is 2 by mira' in raised.value.message
    assert 'policy.online_weight: 0.1 -> 0.2' in raised.value.message


async def test_lost_reply_is_resolved_after_the_head_has_advanced(
    autojump_clock,
):
    """Another operator writes the next version before the retry."""
    service = MemoryKeyValue()
    await _accept_weight(service, 0)
    service.lose_replies = 1
    accepted = []

    async def first():
        accepted.append(await _accept_weight(service, 1, 0.1, author='first'))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(first)
        await trio.sleep(0.01)
        accepted.append(await _accept_weight(service, 2, 0.2, author='second'))
    assert {record.author for record in accepted} == {'first', 'second'}
    history = await read_history(service, 10)
    assert [record.author for record in history] == ['a', 'first', 'second']


async def test_outage_before_the_write_reports_nothing_written(autojump_clock):
    service = MemoryKeyValue()
    service.is_down = True
    with pytest.raises(PlatformUnavailableError):
        await _accept_weight(service, 0)


async def test_outage_after_a_lost_reply_reports_an_unknown_write(
    autojump_clock,
):
    service = MemoryKeyValue()
    service.lose_replies = 1

    async def fail_after_write():
        await trio.sleep(0.01)
        service.is_down = True

    async with trio.open_nursery() as nursery:
        nursery.start_soon(fail_after_write)
        with pytest.raises(WriteUnknownError) as raised:
            await _accept_weight(service, 0)
    service.is_down = False
    stored = decode_config_record((await read_head(service))[0])
    assert stored.writer in raised.value.message


async def test_delayed_write_takes_effect_once_after_a_retry(autojump_clock):
    service = MemoryKeyValue()
    service.delay_writes = 1
    record = await _accept_weight(service, 0)
    assert service.apply_delayed_writes() == [None]
    assert await read_history(service, 10) == [record]


async def test_invalid_configuration_is_rejected_without_a_write():
    service = MemoryKeyValue()
    with pytest.raises(ConfigurationError):
        await _accept_weight(service, 0, weight=3.0)
    assert service.calls['txn'] == 0


async def test_configuration_above_the_size_limit_is_rejected(monkeypatch):
    monkeypatch.setattr(f'{MODULE}.MAX_RECORD_BYTES', 1000)
    rng = random.Random(1)
    keys = tuple(f'{rng.getrandbits(256):064x}' for _ in range(40))
    cfg = Configuration(contracts={'large': Contract(api_key_sha256=keys)})
    with pytest.raises(ConfigurationError, match='allowed: 1000'):
        await accept_version(
            MemoryKeyValue(), cfg, 0, author='a', created_at=0
        )


async def test_history_above_its_limit_deletes_the_oldest_versions(
    monkeypatch,
):
    monkeypatch.setattr(f'{MODULE}.MAX_HISTORY_VERSIONS', 3)
    service = MemoryKeyValue()
    for base in range(6):
        await _accept_weight(service, base)
    records = await read_history(service, 10)
    assert [record.version for record in records] == [4, 5, 6]


async def test_holder_ignores_older_and_repeated_versions():
    service = MemoryKeyValue()
    holder = ConfigHolder()
    await _accept_weight(service, 0, 0.1)
    old, _ = await read_head(service)
    await _accept_weight(service, 1, 0.2)
    new, _ = await read_head(service)
    assert [holder.apply(raw) for raw in (new, old, new)] == [
        True,
        False,
        False,
    ]
    assert holder.version == 2


@pytest.mark.parametrize('seed', range(4))
async def test_concurrent_operators_keep_every_accepted_version(
    seed, autojump_clock
):
    """Replies are lost, writes are delayed, and each operator retries."""
    service = MemoryKeyValue()
    rng = random.Random(seed)
    accepted, unknown = [], []

    async def operate(name):
        for _ in range(8):
            await trio.sleep(rng.random())
            raw, _ = await read_head(service)
            base = decode_config_record(raw).version if raw else 0
            service.lose_replies += rng.choice((0, 0, 1))
            service.delay_writes += rng.choice((0, 0, 0, 1))
            try:
                accepted.append(
                    await _accept_weight(service, base, author=name)
                )
            except VersionConflictError:
                continue
            except WriteUnknownError as exc:
                unknown.append(exc.message)

    async def apply_delayed_writes():
        while True:
            await trio.sleep(rng.random() * 2)
            service.apply_delayed_writes()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(apply_delayed_writes)
        async with trio.open_nursery() as operators:
            for number in range(4):
                operators.start_soon(operate, f'operator-{number}')
        nursery.cancel_scope.cancel()
    history = await read_history(service, 100)
    versions = [record.version for record in history]
    assert versions == list(range(1, len(history) + 1))
    writers = [record.writer for record in history]
    for record in accepted:
        assert writers.count(record.writer) == 1
    unconfirmed = set(writers) - {record.writer for record in accepted}
    assert all(
        any(writer in text for text in unknown) for writer in unconfirmed
    )
    assert len(accepted) > 5


class ConfigurationChain(stateful.RuleBasedStateMachine):
    """Runs operators, faults and configuration holders in random order."""

    def __init__(self):
        super().__init__()
        self.service = MemoryKeyValue()
        self.holders = [ConfigHolder() for _ in range(3)]
        self.last_versions = [0, 0, 0]
        self.accepted = {}
        self.unknown = []

    @stateful.rule(
        lag=st.integers(0, 1),
        lost=st.integers(0, 2),
        late=st.sampled_from((0, 0, 0, 1, 7)),
    )
    def apply(self, lag, lost, late):
        self.service.lose_replies = lost
        self.service.delay_writes = late
        base = max(0, self._newest() - lag)
        try:
            record = self._run(_accept_weight, self.service, base)
        except (VersionConflictError, PlatformUnavailableError):
            return
        except WriteUnknownError as exc:
            self.unknown.append(exc.message)
        else:
            assert record.version == base + 1
            self.accepted[record.version] = record
        finally:
            self.service.lose_replies = 0
            self.service.delay_writes = 0

    @stateful.rule()
    def apply_delayed_writes(self):
        self.service.apply_delayed_writes()

    @stateful.rule(is_down=st.sampled_from((True, False, False)))
    def set_down(self, is_down):
        self.service.is_down = is_down

    @stateful.rule(source=st.integers(0, 2), reader=st.integers(0, 2))
    def push(self, source, reader):
        if self.holders[source].version:
            self.holders[reader].apply(self.holders[source].raw)

    @stateful.rule(reader=st.integers(0, 2), age=st.integers(0, 3))
    def deliver(self, reader, age):
        """Apply a record of the history, possibly an old one."""
        record = self.accepted.get(self._newest() - age)
        if record:
            self.holders[reader].apply(self._entry(record.version))

    @stateful.invariant()
    def holder_versions_never_decrease(self):
        for number, holder in enumerate(self.holders):
            assert holder.version >= self.last_versions[number]
            self.last_versions[number] = holder.version

    @stateful.invariant()
    def each_accepted_version_is_in_the_history(self):
        for version, record in self.accepted.items():
            assert decode_config_record(self._entry(version)) == record
        for version in range(1, self._newest() + 1):
            stored = decode_config_record(self._entry(version))
            assert stored.parent == version - 1
            assert version in self.accepted or any(
                stored.writer in message for message in self.unknown
            )

    def _entry(self, version):
        key = config_version_key(version)
        return self.service._entries[key][0].body

    def _newest(self):
        head = self.service._entries.get(CONFIG_HEAD_KEY)
        return decode_config_record(head[0].body).version if head else 0

    def _run(self, function, *args):
        clock = MockClock(autojump_threshold=0)
        return trio.run(function, *args, clock=clock)


TestConfigurationChain = ConfigurationChain.TestCase
TestConfigurationChain.settings = settings(
    max_examples=100, stateful_step_count=30
)
