"""Tests of the objectives that classes and teams achieve."""
