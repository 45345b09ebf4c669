"""The proxy: the decisions of `balancer` on real sockets.

Read `dispatcher` first: it takes a client's request to its answer. `proxy` builds and connects the parts,
`process` runs one process. `downstream` is the clients' side, `upstream` the backends' side, `discovery`
the endpoint list; `config` reads the configuration file, `reload` takes over a new one, `shutdown` ends the
process. Nothing here decides where a request goes, nor whether it is rejected or retried.
"""
