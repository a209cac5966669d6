"""Service-level objectives of job classes, and how well classes and teams achieve them."""
