"""Tests of heartbeats that are received through every node."""
