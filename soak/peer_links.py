"""Cut the connections and the datagrams between daemons, from outside."""

import contextlib
import ctypes
import os
import pathlib
import re
import socket
from collections.abc import Callable, Collection, Iterable, Iterator

from soak.proxy import drop_packets, pass_packets

#: A call of Linux that Python does not name.
_PIDFD_GETFD = 438
_LIBC = ctypes.CDLL(None, use_errno=True)
#: Columns of the kernel's table of connections.
_LOCAL, _REMOTE, _STATE, _INODE = 1, 2, 3, 9
_ESTABLISHED = '01'


def silence_links(pids: Iterable[int], ports: Collection[int]) -> list[int]:
    """Drop all packets that processes receive over some connections.

    They are those to or from `ports`. Return how many each process has.
    """
    inodes = set(_inodes(ports))
    return [_change_sockets(pid, inodes, drop_packets) for pid in pids]


@contextlib.contextmanager
def datagrams_dropped(
    pids: Iterable[int], ports: Collection[int]
) -> Iterator[list[int]]:
    """Drop all datagrams that processes receive at some ports meanwhile.

    Yield the number of such sockets that each process has.
    """
    pids = list(pids)
    inodes = set(_datagram_inodes(ports))
    yield [_change_sockets(pid, inodes, drop_packets) for pid in pids]
    for pid in pids:
        _change_sockets(pid, inodes, pass_packets)


def _change_sockets(
    pid: int,
    inodes: Collection[str],
    change: Callable[[socket.socket], None],
) -> int:
    """Change some sockets of a process, and return how many it has."""
    count = 0
    with contextlib.suppress(ProcessLookupError, FileNotFoundError):
        pidfd = os.pidfd_open(pid)
        for entry in pathlib.Path(f'/proc/{pid}/fd').iterdir():
            with contextlib.suppress(FileNotFoundError):
                found = re.fullmatch(r'socket:\[(\d+)\]', os.readlink(entry))
                if found and found[1] in inodes:
                    count += _change_socket(pidfd, int(entry.name), change)
        os.close(pidfd)
    return count


def _inodes(ports: Collection[int]) -> Iterator[str]:
    for columns in _rows('tcp'):
        used = {_port(columns[_LOCAL]), _port(columns[_REMOTE])}
        if columns[_STATE] == _ESTABLISHED and used & set(ports):
            yield columns[_INODE]


def _datagram_inodes(ports: Collection[int]) -> Iterator[str]:
    for columns in _rows('udp'):
        if _port(columns[_LOCAL]) in ports:
            yield columns[_INODE]


def _rows(protocol: str) -> Iterator[list[str]]:
    lines = pathlib.Path(f'/proc/net/{protocol}').read_text().splitlines()
    return map(str.split, lines[1:])


def _port(address: str) -> int:
    return int(address.rpartition(':')[2], 16)


def _change_socket(
    pidfd: int, descriptor: int, change: Callable[[socket.socket], None]
) -> int:
    own = _LIBC.syscall(_PIDFD_GETFD, pidfd, descriptor, 0)
    if own < 0:
        # The process has closed it, or may not be looked into.
        return 0
    with socket.socket(fileno=own) as changed:
        change(changed)
    return 1
