"""Tests of the connectivity monitor."""
