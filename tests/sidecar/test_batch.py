"""Tests of the outcomes of items whose job was revoked."""

import pytest
import trio

from briarrill.coordination.admission import Admission
from briarrill.protocol.messages import BatchItem
from briarrill.readiness import Readiness
from briarrill.result_codes import Ran, ResultCode
from briarrill.sidecar.batch import BatchPuller
from briarrill.sidecar.online import SidecarIdentity
from briarrill.sidecar.unfinished_items import UnfinishedItems
from tests.sidecar.sidecar_setup import ScriptedUpstream, make_batch_runner

ITEM = BatchItem(
    job='job',
    index=0,
    epoch=1,
    contract='kinship',
    model='model',
    url='/v1/chat/completions',
    body=b'{"model": "model", "messages": []}',
)


@pytest.fixture
def puller():
    upstream = ScriptedUpstream()
    upstream.make_chunks = upstream.send_endless_chunks
    return BatchPuller(
        SidecarIdentity('side-0', 'llm'),
        make_batch_runner(upstream, Admission(2, 2)),
        Readiness(),
        'batch-0',
        UnfinishedItems(),
    )


async def test_revoked_running_item_does_not_claim_that_it_never_ran(
    puller, nursery
):
    puller._accept_item(nursery, ITEM)
    with trio.fail_after(5):
        while not puller._runner.upstream.called_paths:
            await trio.sleep(0.01)
        puller._unfinished_items.revoke('job', None)
        while not puller._unsent_outcomes:
            await trio.sleep(0.01)
    outcome = puller._unsent_outcomes[0]
    assert outcome.code is ResultCode.CANCELLED
    assert outcome.ran is Ran.UNKNOWN


async def test_item_of_a_revoked_job_did_not_run(puller, nursery):
    puller._unfinished_items.revoke('job', None)
    puller._accept_item(nursery, ITEM)
    assert puller._unsent_outcomes[0].ran is Ran.NO
    assert not puller._runner.upstream.called_paths


async def _send_events_without_end(_req):
    yield b'data: {"choices":[{"delta":{"content":"a part"}}]}\n\n'


async def test_item_whose_stream_has_no_end_event_fails():
    """Such a stream may have been cut."""
    runner = make_batch_runner(
        ScriptedUpstream(_send_events_without_end), Admission(2, 2)
    )
    outcome = await runner.run_item(ITEM)
    assert outcome.code is ResultCode.UPSTREAM_FAILED
    assert outcome.ran is Ran.UNKNOWN
