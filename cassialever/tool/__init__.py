"""The commands of the tool `cassialever`."""
