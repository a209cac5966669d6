"""HTTP in and out: the listener and the pooled client. Knows nothing of jobs."""
