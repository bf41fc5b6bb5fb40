"""Placement, waiting, refusal and retry decisions, without I/O."""
