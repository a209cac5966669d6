"""Limits of a node's connections, threads and queues, and of the time of recurring tasks."""
