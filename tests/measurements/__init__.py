"""Measurement scripts; pytest does not run them."""
