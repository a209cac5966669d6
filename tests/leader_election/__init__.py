"""Tests of leader election and its quorum of lease votes."""
