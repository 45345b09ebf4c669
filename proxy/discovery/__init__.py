"""The endpoint list, as discovery sends it.

`watch` keeps one watch open and reports its updates; `watch_connection` is the connection of one watch, and
`message_assembler` splits its body into messages; `messages` is the form of the list, and `endpoint_reader`
reads that into typed values. The list itself is not stored here: `proxy.endpoint_table` and the balancer own
it.
"""
