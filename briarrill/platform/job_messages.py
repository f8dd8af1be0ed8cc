"""briarrill.platform.job_messages: JSON bodies of requests about jobs."""

from collections.abc import Sequence
from typing import Annotated

import attrs
import msgspec

from ..coordination.relay_protocol import JobProtocol
from ..decoding import decode_base64, json_decoder
from ..errors import BadRequestError, MalformedMessageError
from ..state.stored_jobs import StoredItem, StoredResult
from ..transport.http_messages import check_request
from .credentials import without_credentials

__all__ = ('PlatformJobProtocol',)

# far above the context of any model
_MAX_TOKENS = 1_000_000_000

# header that names an item when it runs
_ITEM_ID = 'briarrill-attempt-id'


@attrs.frozen
class _WireItem:
    """An item; ``body`` is base64, ``tokens`` counts prompt and output."""

    id: str
    path: str
    headers: dict[str, str]
    body: str
    tokens: Annotated[int, msgspec.Meta(ge=0, le=_MAX_TOKENS)]


@attrs.frozen
class _Submission:
    """The body of a job's submission."""

    items: tuple[_WireItem, ...]


@attrs.frozen
class _WireResult:
    """A result in the platform's JSON."""

    id: str
    state: str
    output: str


@attrs.frozen
class _Results:
    """A page of results; ``next_token`` is the position after the last."""

    total: int
    next_token: int
    results: tuple[_WireResult, ...]


_SUBMISSION = json_decoder(_Submission)


class PlatformJobProtocol(JobProtocol):
    """Reads and writes the platform's JSON bodies."""

    def read_items(
        self, body: bytes, *, keeps_credentials: bool = True
    ) -> tuple[StoredItem, ...]:
        """Return the items of a submitted job.

        :param keeps_credentials: whether items may have headers with
            credentials or the name of a customer; others are left out.
        :raises BadRequestError: the body is no valid job.
        """
        try:
            submitted = tuple(map(_stored, _SUBMISSION.decode(body).items))
        except MalformedMessageError as exc:
            raise BadRequestError(f'invalid job: {exc.message}') from exc
        if keeps_credentials:
            return submitted
        return tuple(
            attrs.evolve(stored, headers=without_credentials(stored.headers))
            for stored in submitted
        )

    def results_body(
        self, total: int, position: int, page: Sequence[StoredResult]
    ) -> bytes:
        """Return the body of a response with results."""
        reply = _Results(
            total=total,
            next_token=position + len(page),
            results=tuple(
                _WireResult(stored.item_id, stored.state.value, stored.output)
                for stored in page
            ),
        )
        return msgspec.json.encode(reply)


def _stored(wire: _WireItem) -> StoredItem:
    """Return an item as it is stored.

    :raises BadRequestError: its ID, path or headers cannot be sent over HTTP.
    """
    try:
        check_request(wire.path, {**wire.headers, _ITEM_ID: wire.id})
    except ValueError as exc:
        raise BadRequestError(f'item {wire.id!r}: {exc}') from exc
    return StoredItem(
        item_id=wire.id,
        path=wire.path,
        headers=wire.headers,
        body=decode_base64(wire.body),
        tokens=wire.tokens,
    )
