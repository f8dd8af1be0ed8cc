"""Contents of files, whole and broken off between two segments."""

import h11
import pytest

from briarrill.errors import SegmentLostError
from briarrill.state.job_records import FileRecord, SegmentRef, encode_record
from briarrill.state.keys import file_key

SEGMENTS = (b'{"line":1}\n', b'{"line":2}\n{"line":3}\n')
CONTENT = b''.join(SEGMENTS)


class Replicas:
    """Segment storage of which some segments are lost."""

    def __init__(self, kept):
        self.kept = kept

    async def get(self, ref):
        body = SEGMENTS[int(ref.name)]
        if body not in self.kept:
            raise SegmentLostError(f'no copy of segment {ref.name}')
        return body


async def _download(serve_entry, kept, version):
    """Return all bytes that a caller gets for a file's content."""
    segments = tuple(
        SegmentRef(str(number), body.count(b'\n'), len(body), ())
        for number, body in enumerate(SEGMENTS)
    )
    record = FileRecord('file-1', 'kinship', len(CONTENT), 1, segments)
    request = (
        f'GET /v1/files/file-1/content HTTP/{version}\r\nHost: entry\r\n'
        'Authorization: Bearer key-1\r\nConnection: close\r\n\r\n'
    )
    async with serve_entry(segment_replicas=Replicas(kept)) as entry:
        key = file_key('kinship', 'file-1')
        entry.key_value.records[key] = encode_record(record)
        stream = await entry.connect()
        async with stream:
            await stream.send_all(request.encode())
            return b''.join([part async for part in stream])


def _read_complete(raw):
    """Return the body of a response, none if the response was cut."""
    parser = h11.Connection(h11.CLIENT)
    request = h11.Request(method='GET', target='/', headers=[('host', 'h')])
    for event in (request, h11.EndOfMessage()):
        parser.send(event)
    for received in (raw, b''):
        parser.receive_data(received)
    parts = []
    try:
        while not isinstance(event := parser.next_event(), h11.EndOfMessage):
            if isinstance(event, h11.Data):
                parts.append(event.data)
    except h11.RemoteProtocolError:
        return None
    return b''.join(parts)


@pytest.mark.parametrize('version', ['1.0', '1.1'])
@pytest.mark.parametrize('kept', [SEGMENTS, SEGMENTS[:1], ()])
async def test_content_that_breaks_off_never_looks_complete(
    serve_entry, version, kept
):
    """A caller with HTTP/1.0 takes a close for the end of a body."""
    body = _read_complete(await _download(serve_entry, kept, version))
    assert body == (CONTENT if kept == SEGMENTS else None)
