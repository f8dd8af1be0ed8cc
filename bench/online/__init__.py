"""bench.online: harm to online requests, batch throughput and overload."""
