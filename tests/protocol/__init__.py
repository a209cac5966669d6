"""Tests of the settings files, and of the decoders of external input."""
