"""The request proxy: the decisions of `balancer` on real sockets."""
