"""briarrill.protocol.messages: typed messages between processes.

Times are in seconds. Clocks of two processes differ, so a deadline is sent as
the time left together with the receiver's clock that the sender last received.
"""

from .allowances import Allowance, Borrow
from .base import Failure, Message, Ok
from .batch import (
    Assign,
    BatchItem,
    CancelJob,
    ItemOutcome,
    JobClaimed,
    JobNotice,
    Pull,
    Revoke,
)
from .control import ConfigDigest, ConfigPush, Drain, Status, StatusRequest
from .online import CancelCall, Chunk, Finish, Submit
from .session import PROTOCOL_VERSION, Heartbeat, Hello, LoadReport, Welcome
from .store import GetSegment, PutSegment, Segment

__all__ = (
    'Allowance',
    'Assign',
    'BatchItem',
    'Borrow',
    'CancelCall',
    'CancelJob',
    'Chunk',
    'ConfigDigest',
    'ConfigPush',
    'Drain',
    'Failure',
    'Finish',
    'GetSegment',
    'Heartbeat',
    'Hello',
    'ItemOutcome',
    'JobClaimed',
    'JobNotice',
    'LoadReport',
    'Message',
    'Ok',
    'PROTOCOL_VERSION',
    'Pull',
    'PutSegment',
    'Revoke',
    'Segment',
    'Status',
    'StatusRequest',
    'Submit',
    'Welcome',
)
