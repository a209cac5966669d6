"""Tests of settings files and of decoding what comes from outside."""
