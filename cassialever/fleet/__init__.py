"""A daemon's view of its deployment, and how daemons keep it current."""
