"""Shared test code: builders, fake services, simulation, fault injection, invariant checkers."""
