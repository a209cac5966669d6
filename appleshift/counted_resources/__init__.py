"""Counted resources: licenses and the like, counted across the whole cluster.

Loaded only where such resources are defined. Lower layers know this package
by the protocols in ``placement/counted_resources.py`` alone.
"""
