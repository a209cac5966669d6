"""Leader election: candidacy, the leader's lease, votes of the peers, and durable commits."""
