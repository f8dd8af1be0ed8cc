"""Streams at upstreams of a version that could not be recorded."""

import attrs

from briarrill.coordination.version_records import ServedVersion
from standins.platform_engine import StandinEngine, stream_events
from tests.relay.front_end_setup import RESUMABLE_STREAM, run_front_end
from tests.serving import free_port

PATH = RESUMABLE_STREAM.prefix


async def test_streams_begin_at_a_new_version_if_the_recorded_one_is_dead(
    monkeypatch,
):
    """The store takes no writes: v1 stays registered, v2 unrecorded."""
    engines = [
        StandinEngine(stream_events(3), born=7),
        StandinEngine(stream_events(3), born=7),
    ]
    now = [500.0]
    async with run_front_end([RESUMABLE_STREAM], *engines) as setup:
        records = setup.upstreams.records
        monkeypatch.setattr(records, '_clock', lambda: now[0])
        records.hold_s = 1.5
        records.is_read = lambda: True
        for number, version in enumerate(('v1', 'v2')):
            previous = setup.upstreams.find(f'i-{number}')
            changed = attrs.evolve(
                previous, version=version, incarnation=f'i-{number}/7'
            )
            if version == 'v1':
                changed = attrs.evolve(
                    changed, address=('127.0.0.1', free_port())
                )
            setup.upstreams.register(changed)
        records.add(ServedVersion('llm', 'v1'))
        records._unrecorded_since.pop(ServedVersion('llm', ''), None)
        now[0] += 600
        statuses = [
            (await setup.send_request(PATH, attempt_id=f'r{number}'))[0]
            for number in range(5)
        ]
    assert statuses == [200] * 5
