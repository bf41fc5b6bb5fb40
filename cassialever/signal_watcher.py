"""Handle the signals of the process in an event loop."""

import asyncio
import signal
import socket
from collections.abc import Callable, Mapping
from typing import Final

from cassialever.process_signals import ProcessSignals

#: The interpreter writes a byte for each signal; how many are read at once.
_MAX_BYTES: Final = 4096


class SignalWatcher:
    """Calls a callback in the running loop for each kind of signal noted."""

    def __init__(
        self,
        signals: ProcessSignals,
        callback_by_signal: Mapping[int, Callable[[], None]],
    ) -> None:
        """Prepare; `start` calls for the signals that came before, too."""
        self._signals = signals
        self._callback_by_signal = callback_by_signal
        ends = socket.socketpair()
        self._receiver = ends[0]
        self._sender = ends[1]

    def start(self) -> None:
        """Handle signals from now on, in the main thread."""
        for end in (self._receiver, self._sender):
            end.setblocking(False)
        signal.set_wakeup_fd(self._sender.fileno(), warn_on_full_buffer=False)
        asyncio.get_running_loop().add_reader(self._receiver, self._wake)
        self._handle_noted()

    def stop(self) -> None:
        """Leave further signals as noted."""
        signal.set_wakeup_fd(-1)
        asyncio.get_running_loop().remove_reader(self._receiver)
        self._receiver.close()
        self._sender.close()

    def _wake(self) -> None:
        # The bytes only wake the loop: some are lost while the buffer is full.
        self._receiver.recv(_MAX_BYTES)
        self._handle_noted()

    def _handle_noted(self) -> None:
        for number in sorted(self._signals.take()):
            self._callback_by_signal[number]()
