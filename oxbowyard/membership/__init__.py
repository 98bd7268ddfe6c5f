"""Membership of the group of schedulers: a gossip protocol without I/O, its messages, its sockets and timer.

The protocol follows SWIM with Lifeguard's extensions (docs/design/membership.md).

A member list is a hint. It may be late, and it may be wrong about any member. Whatever must be done by one
process only (a job that must not run twice, the ownership of a store) never depends on it.
"""
