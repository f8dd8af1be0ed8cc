"""briarrill.relay: forwards callers' requests to upstreams unchanged."""
