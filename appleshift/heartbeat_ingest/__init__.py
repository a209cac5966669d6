"""Heartbeats taken in by every node: the fast path, and relays to the leader."""
