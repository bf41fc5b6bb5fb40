"""The operators' catalogue: validation, storage, changes and adoption."""
