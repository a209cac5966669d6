"""Tests of the controllers' API."""
