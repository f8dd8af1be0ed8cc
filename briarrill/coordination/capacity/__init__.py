"""briarrill.coordination.capacity: what requests bring and upstreams hold."""
