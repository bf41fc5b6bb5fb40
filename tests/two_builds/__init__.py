"""The messages of an earlier build: definitions, and bytes it wrote."""
