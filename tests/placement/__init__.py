"""Tests of placement, preemption and fair share."""
