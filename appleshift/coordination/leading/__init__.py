"""Who leads, what that entitles to, and what is written down for it."""
