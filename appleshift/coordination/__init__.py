"""Who leads, what runs where, what is rented, and what a failure changes."""
