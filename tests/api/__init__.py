"""Tests of the controller nodes' HTTP API."""
