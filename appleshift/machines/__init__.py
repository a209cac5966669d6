"""The machines of a shard: adoption, liveness, health and return."""
