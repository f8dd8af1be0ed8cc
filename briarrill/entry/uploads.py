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

MAX_FIELD_CHARACTERS = 10_000

MAX_FORM_PARTS = 32

# limit of the decoder's buffer while it searches a part boundary
MAX_DECODER_BUFFER_BYTES = 4_000_000

# accepted in addition to the largest file: boundaries and other form parts
MAX_FORM_OVERHEAD_BYTES = 100_000


@attrs.define
class Upload:
    """Form fields of an upload, filled in while its body is read.

    :param max_bytes: largest accepted size of the file.
    :param timeout_s: longest wait for more bytes of the body.
    """

    max_bytes: int
    timeout_s: float
    filename: str = ''
    fields: dict[str, str] = attrs.field(factory=dict)


async def read_upload(upload: Upload) -> AsyncIterator[bytes]:
    """Yield the file's bytes as they arrive.

    :raises BadRequestError: the body is not a multipart form with a file.
    :raises TooLargeError: the content length is above the limit.
    :raises BodyTimeoutError: no bytes arrived within the timeout.
    """
    _check_content_length(upload.max_bytes)
    part: Field | File | None = None
    async for event in _form_events(upload.timeout_s):
        if isinstance(event, (Field, File)):
            part = event
        if not isinstance(event, Data):
            continue
        if isinstance(part, File):
            upload.filename = part.filename
            yield event.data
        else:
            _append_to_field(upload, part, event.data)
    if not upload.filename:
        raise BadRequestError('the form has no file')


def _check_content_length(max_bytes: int) -> None:
    """Reject an upload by its content length, before it is read."""
    if (request.content_length or 0) > max_bytes + MAX_FORM_OVERHEAD_BYTES:
        raise TooLargeError(
            f'the upload is larger than the limit of {max_bytes} bytes'
        )


def _append_to_field(upload: Upload, part: Field | None, body: bytes) -> None:
    """Append bytes to a form field.

    :raises BadRequestError: the field is longer than the limit.
    """
    if part is None:
        return
    name = part.name
    text = upload.fields.get(name, '') + body.decode(errors='replace')
    if len(text) > MAX_FIELD_CHARACTERS:
        raise BadRequestError(
            f'form field {name} is longer than {MAX_FIELD_CHARACTERS} '
            'characters'
        )
    upload.fields[name] = text


async def _form_events(timeout_s: float) -> AsyncIterator[Event]:
    """Yield the events of the multipart form as its bytes arrive.

    :raises BadRequestError: the form is malformed or truncated.
    """
    decoder = MultipartDecoder(
        _form_boundary(), MAX_DECODER_BUFFER_BYTES, max_parts=MAX_FORM_PARTS
    )
    try:
        async for received in _body_parts(timeout_s):
            decoder.receive_data(received)
            for event in _decoded_events(decoder):
                yield event
    except ValueError as exc:
        raise BadRequestError(f'multipart form: {exc}') from exc


async def _body_parts(timeout_s: float) -> AsyncIterator[bytes | None]:
    """Yield the parts of the body, then ``None`` for its end."""
    while received := await _next_body_part(timeout_s):
        yield received
    yield None


async def _next_body_part(timeout_s: float) -> bytes:
    """Return the next bytes of the body, empty at its end."""
    try:
        with trio.fail_after(timeout_s):
            return await anext(request.body, b'')
    except trio.TooSlowError as exc:
        raise BodyTimeoutError(
            f'no bytes of the upload arrived for {timeout_s} s'
        ) from exc


def _decoded_events(decoder: MultipartDecoder) -> Iterator[Event]:
    """Yield the events decoded so far.

    :raises ValueError: the form is malformed or truncated.
    """
    while True:
        event = decoder.next_event()
        if isinstance(event, NeedData):
            return
        yield event
        if isinstance(event, Epilogue):
            return


def _form_boundary() -> bytes:
    """Return the boundary between the parts of the form.

    :raises BadRequestError: the content type is not multipart/form-data.
    """
    headers: Headers = request.headers
    kind, options = parse_options_header(headers.get('Content-Type'))
    if kind != 'multipart/form-data' or 'boundary' not in options:
        raise BadRequestError('the body must be multipart/form-data')
    return options['boundary'].encode()
