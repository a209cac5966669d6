"""Which workers and peers a node reaches, and when it hands leadership over for it."""
