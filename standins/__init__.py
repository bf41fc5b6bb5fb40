"""Simulated platform servers and targets for tests and demos."""
