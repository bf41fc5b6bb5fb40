"""Soak test: run daemons as processes, inject faults and check answers."""
