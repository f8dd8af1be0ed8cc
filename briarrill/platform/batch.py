"""briarrill.platform.batch: a batch process on the platform."""

from .fleet import follow_fleet, open_fleet, wait_stop
from .settings import PlatformInstance

__all__ = ('run_batch',)


async def run_batch(cfg: PlatformInstance) -> None:
    """Run until a stop signal."""
    async with open_fleet(cfg, runs_batch=True) as fleet:
        async with follow_fleet(fleet):
            await wait_stop(fleet.readiness)
