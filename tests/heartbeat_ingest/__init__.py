"""Tests of heartbeat relays and the fast path."""
