"""Interfaces between the parts of a node: scheduler events, scheduler actions, protocols."""
