"""How a sidecar applies the configuration in force."""

import attrs
import msgspec
from trio.testing import wait_all_tasks_blocked

from briarrill.coordination.admission import Admission
from briarrill.coordination.configuration import ConfigHolder, ConfigRecord
from briarrill.readiness import Readiness
from briarrill.sidecar.online import OnlineServer, SidecarIdentity
from briarrill.sidecar.service import _Sidecar
from briarrill.state.contracts import (
    Configuration,
    Policy,
    encode_configuration,
)
from tests.sidecar.sidecar_setup import ScriptedUpstream


@attrs.define
class _Control:
    """Stub of the control with readiness and configuration only."""

    readiness: Readiness
    config_holder: ConfigHolder = attrs.field(factory=ConfigHolder)

    async def wait_configured(self):
        while not self.config_holder.version:
            await self.config_holder.wait_changed()


def _record(version, online_weight):
    policy = Policy(online_weight=online_weight)
    return msgspec.json.encode(
        ConfigRecord(
            version=version,
            parent=version - 1,
            writer='writer',
            author='operator',
            created_at=0,
            body=encode_configuration(Configuration(policy=policy)),
        )
    )


async def test_online_weight_of_each_version_sets_batch_capacity(nursery):
    readiness = Readiness()
    control = _Control(readiness)
    admission = Admission(slots=8, queue=4)
    server = OnlineServer(
        None, SidecarIdentity('u'), ScriptedUpstream(), admission, readiness
    )
    sidecar = _Sidecar(None, control, None, server)
    nursery.start_soon(sidecar._apply_policy)
    await wait_all_tasks_blocked()
    assert not readiness.is_ready
    capacities = []
    for version, weight in enumerate((1.0, 0.0, 0.5), start=1):
        control.config_holder.apply(_record(version, weight))
        await wait_all_tasks_blocked()
        capacities.append(admission.batch_capacity)
    assert capacities == [4, 8, 6]
    assert readiness.is_ready
