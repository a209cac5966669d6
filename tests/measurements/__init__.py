"""Scripts that measure costs; none of them is a test."""
