"""The states of a client's connection; `connection` owns the changes, `eviction` the time limits in each."""

from __future__ import annotations

from enum import IntEnum, StrEnum


class ConnectionState(IntEnum):
    """What a client's connection is doing.

    A connection begins as NEW. The first bytes of a request make it READING, the complete request SERVING (at
    once, where it comes in one piece). The response makes it IDLE, WAITING where the next request is there
    already, or READING where a part of that is. A rejection, and a response that ends the connection, make it
    CLOSING. When it is aborted, or has ended, it is CLOSED.

    The values count from 0: they are positions in `ConnectionRegistry.deadlines_by_state`.
    """

    NEW = 0  # connected, and nothing has come yet
    READING = 1  # a part of a request has come
    SERVING = 2  # a request waits for its response: the only state without a time limit of its own
    IDLE = 3  # between two requests
    WAITING = 4  # the next request is complete, and the response before it may not be read yet
    CLOSING = 5  # the last response is written, the end of the connection is not seen yet
    CLOSED = 6  # aborted or ended


# Each state under its own name too: Python 3.11 takes several times as long to look a member up in its class,
# and each request changes the state two or three times.
NEW, READING, SERVING, IDLE, WAITING, CLOSING, CLOSED = ConnectionState


class CloseReason(StrEnum):
    """Why the proxy closes a client's connection."""

    EVICTED = "evicted"  # there are too many
    TIMED_OUT = "timed_out"  # its state has a time limit
    REJECTED = "rejected"  # its request is malformed or can't be taken
    LAST_RESPONSE = "last_response"  # the client, or a shutdown, wants no further request on it
    SHUTDOWN = "shutdown"  # it rested as the proxy began to close
    FLOOD = "flood"  # it sends on and on behind a rejection
    CLIENT_DISCONNECTED = "client_disconnected"  # seen where nothing is read any more
