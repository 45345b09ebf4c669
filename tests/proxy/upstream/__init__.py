"""Tests of the backends' side of the proxy."""
