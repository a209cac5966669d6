"""Tests of machine liveness and health."""
