"""Receives workers' heartbeats: the fast path, and the relays that forward them to the leader."""
