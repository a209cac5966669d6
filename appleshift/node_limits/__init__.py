"""What one node takes on at once, and how its duties share its processor."""
