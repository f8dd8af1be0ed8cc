"""briarrill.transport: sockets, HTTP servers and platform clients."""
