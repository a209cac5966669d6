"""Scale-out and scale-in: plans capacity, rents missing machines and returns idle machines."""
