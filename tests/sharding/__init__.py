"""Tests of shards and of machines that move between them."""
