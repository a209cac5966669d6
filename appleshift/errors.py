"""Base class of the package's exceptions."""

from __future__ import annotations


class AppleshiftError(Exception):
    """Base class of all exceptions that the package declares for its callers to handle."""
