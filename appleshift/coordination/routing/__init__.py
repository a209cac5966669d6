"""Routes HTTP requests of users, workers, peers and operators."""
