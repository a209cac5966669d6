"""Tests of the scheduler of one leader term."""
