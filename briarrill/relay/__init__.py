"""briarrill.relay: callers' requests forwarded to upstreams as they are."""
