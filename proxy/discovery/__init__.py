"""The endpoint list, as discovery sends it.

`watch` keeps one watch open and reports its updates. `watch_connection` is the connection of one watch, and
`message_assembler` splits its body into messages. `messages` is the form of the list, which `endpoint_reader`
reads into typed values; `name_index` numbers zones and machine types, and `entry_errors` explains entries
that can't be read. The list itself is not stored here: `proxy.endpoint_table` and the balancer own it.
"""
