"""Workers' reports through every node, for fleets that one node cannot hear."""
