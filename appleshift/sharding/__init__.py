"""Divides machines and jobs into shards; each shard has its own leader."""
