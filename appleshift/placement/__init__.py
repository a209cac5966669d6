"""Which pending tasks go to which machines: bin packing, preemption and fair share."""
