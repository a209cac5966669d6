"""Who leads: election, the leader lease, votes of the peers, and durable commits."""
