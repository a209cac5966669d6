"""A cluster scheduler that rents its machines and tolerates their failures."""

__version__ = "0.1.0"
