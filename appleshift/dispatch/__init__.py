"""Carries out what the scheduler decides: commands to workers and calls to the cloud."""
