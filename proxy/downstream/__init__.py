"""The clients' side of the proxy: its listener, the clients' connections, and the requests on them.

Read `listener` first, then `connection_state`, which explains the states of a connection, then `connection`.
Nothing here knows of backends: the listener passes a request that is to be forwarded to its `on_request`
callback, and the answer comes back through `DownstreamConnection.send_response`.
"""
