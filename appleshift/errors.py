"""The root of the errors that the package raises for its callers to handle."""

from __future__ import annotations


class AppleshiftError(Exception):
    """Base class: a caller that handles it handles every declared failure of the package."""
