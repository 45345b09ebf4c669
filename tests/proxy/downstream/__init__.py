"""Tests of the clients' side of the proxy."""
