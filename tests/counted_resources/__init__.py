"""Tests of counted resources, such as licenses."""
