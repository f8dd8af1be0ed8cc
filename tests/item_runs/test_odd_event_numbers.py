"""Events of items whose numbers cannot be read."""

import pytest

from briarrill.errors import UpstreamLostError
from briarrill.item_runs.item import ItemProgress
from briarrill.protocol.stream_origins import StreamOrigin
from tests.state.test_stored_jobs import make_job


@pytest.mark.parametrize('digits', [19, 20, 25, 5000])
def test_text_of_an_event_of_odd_number_is_not_left_out(digits):
    progress = ItemProgress('j1', make_job().items[0])
    progress.begin_run(StreamOrigin('v1', 'llm'))
    progress.add_stream_bytes(b'id: 1\ndata: a\n\n')
    with pytest.raises(UpstreamLostError):
        progress.add_stream_bytes(b'id: %b\ndata: b\n\n' % (b'9' * digits))
