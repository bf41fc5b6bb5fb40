"""Benchmarks that print their results as tables."""
