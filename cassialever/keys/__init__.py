"""Key ownership: one leader assigns key ranges and grants them to targets."""
