"""The adapter to the users' platform: names, formats and calls.

Only this package knows the platform's headers, paths and fields. It makes no
decisions.
"""
