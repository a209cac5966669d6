"""Counted resources: resources such as licenses that are counted across the whole cluster.

Imported only where such resources are defined. Lower layers use this package only
through the protocols in ``placement/counted_resource_interfaces.py``.
"""
