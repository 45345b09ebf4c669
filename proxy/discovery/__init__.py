"""Receives the endpoint list from the discovery service.

`watch` follows the address of discovery and reports updates. `address_watcher` keeps a watch open on one
address. `watch_connection` is the connection of one watch, and `message_assembler` splits its body into
messages. `messages` defines the JSON form of the list, which `endpoint_reader` converts into typed values.
`name_index` numbers zones and machine types, and `entry_errors` builds the error for an invalid entry.
`logged_events` are the events of the event log. The list itself is not stored here: `proxy.endpoint_table`
and the balancer own it.
"""
