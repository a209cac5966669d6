"""Byte samples of stored data and messages; README.md describes each file."""
