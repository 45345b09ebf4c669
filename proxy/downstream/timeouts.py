"""Time limits of clients' connections, in seconds.

Use them as attributes of this module (`timeouts.IDLE_TIMEOUT`): a test can then replace one for all users.
"""

from __future__ import annotations

FIRST_REQUEST_TIMEOUT = 2.0  # from connecting to the first complete request; the protocol allows 3 at most
REQUEST_TIMEOUT = 2.0  # from the first byte of a later request to its last one
IDLE_TIMEOUT = 10.0  # without a request, on a connection with at least one forwarded request
MIN_IDLE_TIMEOUT = 2.0  # if none was forwarded, or if descriptors run short; clients may rely on it
CLOSING_TIMEOUT = 2.0  # until the client has closed its side of a connection that is closing
WRITING_TIMEOUT = 2.0  # without read progress, while a response is being written
NEW_CONNECTION_GRACE = 0.05  # in which the first bytes of a new connection may still be in transit
SWEEP_INTERVAL = 0.25  # between two checks of the connections' deadlines
