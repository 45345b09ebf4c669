"""The endpoint list, as discovery sends it.

`watch` keeps one watch open and says what it received; `watch_connection` is the connection of one watch;
`endpoint_reader` turns the entries of the list into typed values. Nothing here keeps the list:
`proxy.endpoint_table` and the decisions do.
"""
