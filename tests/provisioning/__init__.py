"""Tests of the capacity planner."""
