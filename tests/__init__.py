"""Tests of appleshift; their packages mirror those of the program."""
