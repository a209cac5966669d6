"""Executes actions of the scheduler: sends commands to workers and calls the cloud."""
