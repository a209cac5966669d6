"""Typed structs of all messages on the wire; wire names are defined only in this package."""
