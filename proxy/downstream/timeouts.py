"""Time limits of clients' connections, in seconds.

Read them through this module (`timeouts.IDLE_TIMEOUT`), so that a test can replace one in a single place.
"""

from __future__ import annotations

FIRST_REQUEST_TIMEOUT = 2.0  # from connecting to the first complete request; the protocol allows 3 at most
REQUEST_TIMEOUT = 2.0  # from the first byte of a later request to its last one
IDLE_TIMEOUT = 10.0  # without a request, on a connection that has had a request forwarded
MIN_IDLE_TIMEOUT = 2.0  # the same where none was forwarded or descriptors run short; clients may rely on it
CLOSING_TIMEOUT = 2.0  # until the client has closed its side of a connection that is closing
WRITING_TIMEOUT = 2.0  # in which a client has to read a part of the response that is being written
SETTLING_TIME = 0.05  # in which the first bytes of a new connection may still be in transit
SWEEP_INTERVAL = 0.25  # between two checks of the deadlines
