"""Assignment of pending tasks to machines: bin packing, preemption and fair share."""
