"""bench.online: online latency beside batch, preemption and overload."""
