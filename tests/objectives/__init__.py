"""Tests of achieved objectives by class and team."""
