"""Tests of what a node can connect to."""
