"""Route requests to servers that own their keys exclusively."""
