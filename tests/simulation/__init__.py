"""Seeded days of a whole deployment, and the invariants checked on them."""
