"""briarrill.entry.uploads: streams a multipart file upload."""

from collections.abc import AsyncIterator, Iterator

import attrs
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

from ..errors import BadRequestError

__all__ = ('Upload', 'read_upload')

FIELD_LIMIT_BYTES = 10_000


@attrs.define
class Upload:
    """The small fields of an upload, filled while it is read."""

    filename: str = ''
    fields: dict[str, str] = attrs.field(factory=dict)


async def read_upload(upload: Upload) -> AsyncIterator[bytes]:
    """Yield the file's bytes as they arrive.

    :raises BadRequestError: the body is no multipart form with a file.
    """
    part: Field | File | None = None
    async for event in _events():
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


def _add_to_field(upload: Upload, part: Field | None, body: bytes) -> None:
    if part is None:
        return
    name = part.name
    text = upload.fields.get(name, '') + body.decode(errors='replace')
    if len(text) > FIELD_LIMIT_BYTES:
        raise BadRequestError(f'form field {name} is too long')
    upload.fields[name] = text


async def _events() -> AsyncIterator[Event]:
    decoder = MultipartDecoder(_boundary())
    try:
        async for received in _body_then_end():
            decoder.receive_data(received)
            for event in _ready_events(decoder):
                yield event
    except ValueError as exc:
        raise BadRequestError(f'multipart form: {exc}') from exc


async def _body_then_end() -> AsyncIterator[bytes | None]:
    async for received in request.body:
        yield received
    yield None


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
