"""The clients' side of the proxy: its listener, their connections, and the requests that come in on them.

Read `listener` first, then `connection`; `connection_state` says through which states a connection goes.
Nothing here knows of backends: a request that is to be forwarded is handed to the function that the listener
was given, which answers it with `DownstreamConnection.send_response`.
"""
