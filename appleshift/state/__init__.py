"""The in-memory state of one shard: jobs, task attempts, machines and teams."""
