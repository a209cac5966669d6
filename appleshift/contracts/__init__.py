"""What the parts of the scheduler agree on: events in, actions out, and their interfaces."""
