"""The machines: rented, trusted, emptied and returned."""
