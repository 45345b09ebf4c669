"""Tests of the balancer, without sockets: events and a clock of the test's own."""
