"""Tests of the commands that are sent to workers."""
