"""briarrill.timeline: one time line of the logs of all processes."""
