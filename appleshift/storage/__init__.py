"""Durable state: key-value store client, write-ahead log, snapshots and recovery."""
