"""Service-level objectives of job classes and teams, and what was achieved of them."""
