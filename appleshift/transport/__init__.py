"""HTTP listener, HTTP client and thread primitives, independent of the scheduler."""
