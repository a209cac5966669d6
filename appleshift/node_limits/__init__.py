"""How much a node accepts at once, and how its tasks share its processor."""
