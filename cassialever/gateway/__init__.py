"""The request path: from a caller to a target and back."""
