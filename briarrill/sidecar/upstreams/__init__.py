"""briarrill.sidecar.upstreams: classes of upstreams by their kind."""

from .base import Answer, Call, Upstream
from .engine import EngineUpstream
from .service import ServiceUpstream

__all__ = ('UPSTREAMS', 'Answer', 'Call', 'Upstream')

UPSTREAMS: dict[str, type[Upstream]] = {
    cls.kind: cls for cls in (EngineUpstream, ServiceUpstream)
}
