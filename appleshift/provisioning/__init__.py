"""Scale-out and scale-in: the capacity plan, what is rented for it and what is returned."""
