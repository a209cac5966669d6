"""Scale-out and scale-in: the plan of the paper, what is rented by it and what is returned."""
