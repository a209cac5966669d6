"""Tests of shards, of divided arrays and of machines that move between shards."""
