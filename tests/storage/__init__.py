"""Tests of the write-ahead log and its snapshots."""
