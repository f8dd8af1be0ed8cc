"""briarrill.protocol: messages between processes and the callers' API."""
