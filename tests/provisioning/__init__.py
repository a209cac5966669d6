"""Tests of capacity planning and scale-out."""
