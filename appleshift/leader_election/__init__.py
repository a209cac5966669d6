"""Leader election: candidacies, the leader lease, lease votes of peers, and log commits."""
