"""Counted resources: licences and the like, counted across the whole cluster.

Loaded only where such resources are defined. ``coordination`` knows this
package by the protocols in ``coordination/placing/counted.py`` alone.
"""
