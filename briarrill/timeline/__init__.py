"""briarrill.timeline: merges the logs of all processes by time."""
