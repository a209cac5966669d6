"""Durable state: the key-value store client, the write-ahead log, snapshots and recovery."""
