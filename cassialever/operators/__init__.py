"""The interface of a daemon for its operators."""
