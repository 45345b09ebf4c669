"""The proxy: connects the balancer to real sockets.

Read `dispatcher` first: it notifies the balancer of the events of each request. `action_executor` carries
out the balancer's actions, `request_registry` owns the active requests, and `responder` sends the responses.

`proxy` builds and connects the parts, and `process` runs one process. `downstream` is the clients' side,
`upstream` the backends' side, `discovery` follows the endpoint list; `config_file` reads the configuration
file, `reload` applies a new one, `shutdown` ends the process. The `balancer` package, and no module of this
one, decides which backend gets a request, and whether a request is rejected or retried.
"""
