"""The clients' side of the proxy: its listener, the clients' connections, and the requests on them.

Read `listener` first, then `connection_state`, which explains the states of a connection, then `connection`.
This package does not depend on the backends' side: the listener passes each request that has to be forwarded
to its `on_request` callback, and `DownstreamConnection.send_response` is called with the response.
"""
