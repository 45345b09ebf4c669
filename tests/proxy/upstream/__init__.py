"""Tests of the connections to backends and of the attempts sent on them."""
