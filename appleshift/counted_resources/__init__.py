"""Counted resources: licenses and the like, counted across the whole cluster.

Loaded only where such resources are defined. Lower layers know this package
by the protocols in ``placement/counted_resource_interfaces.py`` alone.
"""
