"""Which jobs are taken, and which tasks go to which machines."""
