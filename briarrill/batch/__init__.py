"""briarrill.batch: owns jobs, hands items out and keeps segments."""
