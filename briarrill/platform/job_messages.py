"""briarrill.platform.job_messages: JSON bodies of job calls."""

import base64
import binascii
from collections.abc import Sequence

import attrs
import msgspec

from ..coordination.wire import JobWire
from ..errors import BadRequestError
from ..state.stored_jobs import StoredItem, StoredResult

__all__ = ('PlatformJobWire',)


@attrs.frozen
class _WireItem:
    """An item; ``body`` is base64, ``tokens`` holds prompt and output."""

    id: str
    path: str
    headers: dict[str, str]
    body: str
    tokens: int


@attrs.frozen
class _Submission:
    items: tuple[_WireItem, ...]


@attrs.frozen
class _WireResult:
    id: str
    state: str
    output: str


@attrs.frozen
class _Results:
    """Results; ``next_token`` is the position after the last of them."""

    total: int
    next_token: int
    results: tuple[_WireResult, ...]


_SUBMISSION = msgspec.json.Decoder(_Submission)


class PlatformJobWire(JobWire):
    """The platform's JSON."""

    def read_items(self, body: bytes) -> tuple[StoredItem, ...]:
        """Return the items of a job that is handed in."""
        try:
            return tuple(map(_stored, _SUBMISSION.decode(body).items))
        except (msgspec.MsgspecError, binascii.Error) as exc:
            raise BadRequestError(f'not a job: {exc}') from exc

    def results_body(
        self, total: int, position: int, found: Sequence[StoredResult]
    ) -> bytes:
        """Return the body of an answer with results."""
        answer = _Results(
            total=total,
            next_token=position + len(found),
            results=tuple(
                _WireResult(one.item_id, one.state.value, one.output)
                for one in found
            ),
        )
        return msgspec.json.encode(answer)


def _stored(wire: _WireItem) -> StoredItem:
    return StoredItem(
        item_id=wire.id,
        path=wire.path,
        headers=wire.headers,
        body=base64.b64decode(wire.body, validate=True),
        tokens=wire.tokens,
    )
