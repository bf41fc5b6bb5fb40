"""Benchmarks: each prints a table with its baseline beside each figure."""
