"""The states of a client's connection; `connection` changes them, `eviction` enforces the time limits."""

from __future__ import annotations

from enum import IntEnum, StrEnum


class ConnectionState(IntEnum):
    """What a client's connection is doing.

    A connection starts as NEW. The first bytes of a request make it READING, the complete request SERVING
    (directly, if it is received in one piece). The response makes it IDLE, WAITING if the next request has
    been received already, or READING if a part of it has. A rejection, and a response that ends the
    connection, make it CLOSING. When it is aborted, or has ended, it is CLOSED.

    The values count from 0: they are indices of `ConnectionRegistry.deadlines_by_state`.
    """

    NEW = 0  # connected, and nothing has been received yet
    READING = 1  # a part of a request has been received
    SERVING = 2  # a request waits for its response: the only state without a time limit of its own
    IDLE = 3  # between two requests
    WAITING = 4  # the next request is complete, but the client may not have read the previous response
    CLOSING = 5  # the last response is written, but the client has not closed the connection yet
    CLOSED = 6  # aborted or ended


# Each state as a module constant too: Python 3.11 takes several times as long to look a member up in its
# class, and each request changes the state two or three times.
NEW, READING, SERVING, IDLE, WAITING, CLOSING, CLOSED = ConnectionState


class CloseReason(StrEnum):
    """Why the proxy closes a client's connection."""

    EVICTED = "evicted"  # there are too many connections
    TIMED_OUT = "timed_out"  # the time limit of its state has passed
    REJECTED = "rejected"  # its request is malformed or can't be served
    LAST_RESPONSE = "last_response"  # the client, or a shutdown, allows no further request on it
    SHUTDOWN = "shutdown"  # it was idle when the shutdown closed connections
    FLOOD = "flood"  # the client sent too much after a rejection
    CLIENT_DISCONNECTED = "client_disconnected"  # found by polling, where reading has stopped
