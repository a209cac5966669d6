"""The scheduler of one leader term: handles heartbeats and requests, and emits actions."""
