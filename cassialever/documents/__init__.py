"""Read JSON with comments and report faults by line and column."""
