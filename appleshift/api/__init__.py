"""HTTP endpoints of a node for users, workers, peers and operators."""
