"""What tests share: builders, stand-ins, the simulated world, fault injection."""
