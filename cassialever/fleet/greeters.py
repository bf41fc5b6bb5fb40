"""Daemons that have greeted this one, which does not lead.

They look for the leader where its earlier process was, and tell a process that
knows no other daemon where they are.
"""

from typing import Final

from cassialever.fleet import messages

#: Daemons that are remembered; of more, the latest.
MAX_GREETERS: Final = 16


class Greeters:
    """The addresses of daemons that sought a leader here."""

    def __init__(self) -> None:
        """Start without one."""
        #: Where they accept other daemons.
        self.address_by_id: dict[str, str] = {}

    def note(self, hello: messages.Hello) -> None:
        """Note a daemon that would follow this one.

        One that only reads may know no more than this daemon.
        """
        if hello.reads_once:
            return
        self.address_by_id.pop(hello.instance_id, None)
        self.address_by_id[hello.instance_id] = hello.address
        if len(self.address_by_id) > MAX_GREETERS:
            self.address_by_id.pop(next(iter(self.address_by_id)))
