"""Which part of its work each class and each team gets served, and who is behind."""

from appleshift.coordination.serving.served import Served

__all__ = ["Served"]
