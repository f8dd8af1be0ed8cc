"""briarrill.entry.uploads: streams a multipart file upload."""

from collections.abc import AsyncIterator, Iterator

import attrs
import trio
from quart import request
from werkzeug.datastructures import Headers
from werkzeug.http import parse_options_header
from werkzeug.sansio.multipart import (
    Data,
    Epilogue,
    Event,
    Field,
    File,
    MultipartDecoder,
    NeedData,
)

from ..errors import BadRequestError, BodyTimeoutError, TooLargeError

__all__ = ('UPLOAD_PATH', 'Upload', 'read_upload')

UPLOAD_PATH = '/v1/files'

FIELD_LIMIT_BYTES = 10_000

# parts of one form
MAX_PARTS = 32

# bytes kept while the border between two parts is searched
DECODER_BYTES = 4_000_000

# bytes of a form beside its file
FORM_OVERHEAD_BYTES = 100_000


@attrs.define
class Upload:
    """The small fields of an upload, filled while it is read.

    :param max_bytes: size of a body that is refused before it is read.
    :param timeout_s: wait for the next part of the body.
    """

    max_bytes: int
    timeout_s: float
    filename: str = ''
    fields: dict[str, str] = attrs.field(factory=dict)


async def read_upload(upload: Upload) -> AsyncIterator[bytes]:
    """Yield the file's bytes as they arrive.

    :raises BadRequestError: the body is no multipart form with a file.
    :raises TooLargeError: the body says that it is larger than the bound.
    :raises BodyTimeoutError: the next part did not arrive in time.
    """
    _check_size(upload.max_bytes)
    part: Field | File | None = None
    async for event in _events(upload.timeout_s):
        if isinstance(event, (Field, File)):
            part = event
        if not isinstance(event, Data):
            continue
        if isinstance(part, File):
            upload.filename = part.filename
            yield event.data
        else:
            _add_to_field(upload, part, event.data)
    if not upload.filename:
        raise BadRequestError('the form holds no file')


def _check_size(max_bytes: int) -> None:
    """Refuse a body that says that it is too large."""
    if (request.content_length or 0) > max_bytes + FORM_OVERHEAD_BYTES:
        raise TooLargeError(f'a file holds at most {max_bytes} bytes')


def _add_to_field(upload: Upload, part: Field | None, body: bytes) -> None:
    if part is None:
        return
    name = part.name
    text = upload.fields.get(name, '') + body.decode(errors='replace')
    if len(text) > FIELD_LIMIT_BYTES:
        raise BadRequestError(f'form field {name} is too long')
    upload.fields[name] = text


async def _events(timeout_s: float) -> AsyncIterator[Event]:
    decoder = MultipartDecoder(_boundary(), DECODER_BYTES, max_parts=MAX_PARTS)
    try:
        async for received in _body_then_end(timeout_s):
            decoder.receive_data(received)
            for event in _ready_events(decoder):
                yield event
    except ValueError as exc:
        raise BadRequestError(f'multipart form: {exc}') from exc


async def _body_then_end(timeout_s: float) -> AsyncIterator[bytes | None]:
    while received := await _next_part(timeout_s):
        yield received
    yield None


async def _next_part(timeout_s: float) -> bytes:
    """Return the next part of the body, empty at its end."""
    try:
        with trio.fail_after(timeout_s):
            return await anext(request.body, b'')
    except trio.TooSlowError as exc:
        raise BodyTimeoutError('the upload stopped') from exc


def _ready_events(decoder: MultipartDecoder) -> Iterator[Event]:
    """Yield what can be decoded; a form that was cut is a value error."""
    while True:
        event = decoder.next_event()
        if isinstance(event, NeedData):
            return
        yield event
        if isinstance(event, Epilogue):
            return


def _boundary() -> bytes:
    headers: Headers = request.headers
    kind, options = parse_options_header(headers.get('Content-Type'))
    if kind != 'multipart/form-data' or 'boundary' not in options:
        raise BadRequestError('the body must be multipart/form-data')
    return options['boundary'].encode()
