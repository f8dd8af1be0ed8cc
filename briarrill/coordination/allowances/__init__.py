"""briarrill.coordination.allowances: limits that hold over all processes."""
