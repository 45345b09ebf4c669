"""The proxy: connects the balancer to real sockets.

Read `dispatcher` first: it notifies the balancer of what happens to each request. `action_executor` carries
out the balancer's actions, `request_registry` owns the active requests, and `responder` sends the answers.

`proxy` builds and connects the parts, and `process` runs one process. `downstream` is the clients' side,
`upstream` the backends' side, `discovery` follows the endpoint list; `config_file` reads the configuration
file, `reload` applies a new one, `shutdown` ends the process. Nothing here decides which backend gets a
request, nor whether a request is rejected or retried.
"""
