"""briarrill.coordination.customers: who sends requests, and by which terms."""
