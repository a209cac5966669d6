"""A cluster scheduler that rents its machines and keeps its promises when they fail."""

__version__ = "0.1.0"
