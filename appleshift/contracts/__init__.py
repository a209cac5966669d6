"""What the parts of a node agree on: events in, actions out, and their interfaces."""
