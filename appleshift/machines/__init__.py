"""Machines of a shard: adoption, liveness, health, rentals and deletion."""
