"""What the core wants done, and the duties that do it."""
