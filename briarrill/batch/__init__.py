"""briarrill.batch: owns jobs, assigns items and stores segments."""
