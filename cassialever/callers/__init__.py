"""The router's own HTTP interface for callers."""
