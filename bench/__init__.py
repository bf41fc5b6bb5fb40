"""Benchmarks that print tables, with a baseline where there is one."""
